/**
 * At most one run for each non-repeatable request.
 */

export {
  decodeIdempotencyKey,
  encodeIdempotencyKey,
} from "./idempotency_key.ts";
export type { IdempotencyKey } from "./idempotency_key.ts";
export { KEY_LIFETIME_MS, KeyLedger } from "./key_ledger.ts";
export type { KeyLedgerOptions } from "./key_ledger.ts";
