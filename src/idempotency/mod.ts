/**
 * At-most-once execution of non-repeatable requests by idempotency keys.
 */

export type { DispatchState, UnresolvedRun } from "./dispatch_state.ts";
export {
  decodeIdempotencyKey,
  encodeIdempotencyKey,
} from "./idempotency_key.ts";
export type { IdempotencyKey } from "./idempotency_key.ts";
export { KEY_LIFETIME_MS, KeyLedger } from "./key_ledger.ts";
export type { KeyLedgerOptions, KeyUse, UsedKey } from "./key_ledger.ts";
export { KeyPlacement, PLACEMENTS } from "./key_placement.ts";
export type { PlacementState } from "./key_placement.ts";
export { ALLOWED_CLOCK_SKEW_MS, RunLedger } from "./run_ledger.ts";
export type { RunAttempt } from "./run_ledger.ts";
export { SuccessorTable } from "./successor_table.ts";
