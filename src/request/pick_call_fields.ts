/**
 * Copies the fields of an entry call that are forwarded unchanged.
 */

import type { OutboundCall } from "./outbound_call.ts";
import type { EntryCall } from "./serve_entry_call.ts";

/** Target, body, idempotency key and signal of a call. */
export type CallFields = Pick<
  OutboundCall,
  | "service"
  | "method"
  | "path"
  | "contentType"
  | "body"
  | "memory"
  | "idempotencyKey"
  | "attempt"
  | "signal"
>;

/**
 * Picks the fields of an entry call that do not depend on its request kind.
 *
 * @param entry - The call as received over HTTP
 * @returns Target, body, idempotency key and signal
 *
 * @example
 * return ok({ ...pickCallFields(entry), context, deadlineAtMs, classRank });
 */
export function pickCallFields(entry: EntryCall): CallFields {
  const { service, method, path, contentType, body, signal } = entry;
  const { memory, idempotencyKey, attempt } = entry;
  return {
    ...{ service, method, path, contentType, body, signal },
    ...{ memory, idempotencyKey, attempt },
  };
}
