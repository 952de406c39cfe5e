/**
 * Selects the reason of a call failure caused by an aborted signal.
 */

import type { CallSignal } from "../cancellation/mod.ts";
import { REASONS } from "./outcome.ts";
import type { Reason } from "./outcome.ts";

/**
 * Distinguishes an expired deadline from a call that its caller cancelled.
 *
 * @param signal - An aborted signal
 * @returns The reason to report
 *
 * @example
 * createUnknownOutcome(selectAbortReason(signal));
 */
export function selectAbortReason(signal: CallSignal): Reason {
  return signal.reason === REASONS.deadlineExpired
    ? REASONS.deadlineExpired
    : REASONS.cancelled;
}
