/**
 * Combines several abort signals into one.
 */

import { CallController } from "./call_controller.ts";
import type { CallSignal } from "./call_signal.ts";

/**
 * Combines signals into one that is aborted with the first of them. The listeners
 * are not removed, so the signals should not outlive the call for long.
 *
 * @param signals - Signals that may abort the call
 * @returns A signal that is aborted with any of them, for the same reason
 *
 * @example
 * const signal = combineSignals(entry.signal, parent.signal);
 */
export function combineSignals(...signals: readonly CallSignal[]): CallSignal {
  const controller = new CallController();
  signals.forEach((signal) => controller.follow(signal));
  return controller.signal;
}
