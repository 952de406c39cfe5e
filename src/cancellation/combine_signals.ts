/**
 * A signal for a call that several others may end.
 */

import { CallController } from "./call_controller.ts";
import type { CallSignal } from "./call_signal.ts";

/**
 * Combines signals; the first that ends ends the result. Meant for signals that
 * are dropped soon after the call, since they keep what listens to them.
 *
 * @param signals - What may end the call
 * @returns A signal that ends with any of them, for the same reason
 *
 * @example
 * const signal = combineSignals(entry.signal, parent.signal);
 */
export function combineSignals(...signals: readonly CallSignal[]): CallSignal {
  const controller = new CallController();
  signals.forEach((signal) => controller.follow(signal));
  return controller.signal;
}
