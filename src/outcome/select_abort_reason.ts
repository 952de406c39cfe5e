/**
 * Reason of an outcome that an aborted signal caused.
 */

import type { CallSignal } from "../cancellation/mod.ts";
import { REASONS } from "./outcome.ts";
import type { Reason } from "./outcome.ts";

/**
 * Tells a deadline that passed from a caller that has gone.
 *
 * @param signal - An aborted signal
 * @returns The reason to report
 *
 * @example
 * createUncertainty(selectAbortReason(signal));
 */
export function selectAbortReason(signal: CallSignal): Reason {
  return signal.reason === REASONS.deadlineExpired
    ? REASONS.deadlineExpired
    : REASONS.cancelled;
}
