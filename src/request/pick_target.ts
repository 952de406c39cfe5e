/**
 * The parts of an entry call that travel on unchanged.
 */

import type { OutboundCall } from "./outbound_call.ts";
import type { EntryCall } from "./serve_entry_call.ts";

/** What a call asks for, of whom, and under which key. */
export type CallParts = Pick<
  OutboundCall,
  | "service"
  | "method"
  | "path"
  | "contentType"
  | "body"
  | "idempotencyKey"
  | "attempt"
  | "signal"
>;

/**
 * Picks the parts of an entry call that do not depend on its request kind.
 *
 * @param entry - The call as it came over HTTP
 * @returns Target, body, key and signal
 *
 * @example
 * return ok({ ...pickTarget(entry), context, deadlineAtMs, classRank });
 */
export function pickTarget(entry: EntryCall): CallParts {
  const { service, method, path, contentType, body, signal } = entry;
  const { idempotencyKey, attempt } = entry;
  return {
    ...{ service, method, path, contentType, body, signal },
    ...{ idempotencyKey, attempt },
  };
}
