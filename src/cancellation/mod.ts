/**
 * Cancellation of calls.
 */

export { CallController } from "./call_controller.ts";
export type { CallSignal } from "./call_signal.ts";
export { combineSignals } from "./combine_signals.ts";
