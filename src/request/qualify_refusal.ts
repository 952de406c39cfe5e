/**
 * Refusals of calls whose earlier attempts may have run.
 */

import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { CallFailure, Refusal } from "../outcome/mod.ts";
import type { EntryCall } from "./serve_entry_call.ts";

/** Refusals that depend on this daemon's configuration, which differed when an earlier attempt was made elsewhere. */
const LOCAL_REASONS: ReadonlySet<string> = new Set([
  REASONS.notReady,
  REASONS.unknownService,
  REASONS.unknownRequest,
]);

/**
 * Turns a refusal that this entry cannot prove for the call's key into an
 * unknown outcome.
 *
 * @param entry - The call
 * @param refusal - Why this entry does not take it
 * @returns The refusal if no earlier attempt may have run, otherwise an unknown outcome
 *
 * @example
 * return err(qualifyRefusal(entry, refusal));
 */
export function qualifyRefusal(
  entry: Pick<EntryCall, "attempt" | "idempotencyKey" | "parent">,
  refusal: Refusal,
): CallFailure {
  const mayHaveRun = entry.parent === undefined &&
    entry.idempotencyKey !== "" && entry.attempt !== 1;
  const { reason, unusedAllowance } = refusal;
  return mayHaveRun && LOCAL_REASONS.has(reason)
    ? createUnknownOutcome(reason, { unusedAllowance })
    : refusal;
}
