/**
 * Handles refusals of calls whose earlier attempts may have run.
 */

import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { CallFailure, Refusal } from "../outcome/mod.ts";
import type { EntryCall } from "./serve_entry_call.ts";

/** Reasons that depend on this daemon's configuration, which may differ from that of the daemon where an earlier attempt was made. */
const CONFIGURATION_REASONS: ReadonlySet<string> = new Set([
  REASONS.notReady,
  REASONS.unknownService,
  REASONS.unknownRequest,
]);

/**
 * Turns a refusal into an unknown outcome if this daemon cannot prove that no
 * earlier attempt under the call's idempotency key has run.
 *
 * @param entry - The call
 * @param refusal - Why this daemon does not accept the call
 * @returns The refusal, or an unknown outcome if an earlier attempt may have run
 *
 * @example
 * return err(downgradeRefusal(entry, refusal));
 */
export function downgradeRefusal(
  entry: Pick<EntryCall, "attempt" | "idempotencyKey" | "parent">,
  refusal: Refusal,
): CallFailure {
  const mayHaveRun = entry.parent === undefined &&
    entry.idempotencyKey !== "" && entry.attempt !== 1;
  const { reason, unusedAllowance } = refusal;
  return mayHaveRun && CONFIGURATION_REASONS.has(reason)
    ? createUnknownOutcome(reason, { unusedAllowance })
    : refusal;
}
