/**
 * Outcomes of calls as values.
 */

export { createRefusal } from "./create_refusal.ts";
export type { RefusalOptions } from "./create_refusal.ts";
export { createUncertainty } from "./create_uncertainty.ts";
export type { UncertaintyOptions } from "./create_uncertainty.ts";
export { REASONS } from "./outcome.ts";
export type {
  Answer,
  CallFailure,
  CallResult,
  Reason,
  Refusal,
  Uncertainty,
} from "./outcome.ts";
export { UNREACHED_REASONS } from "./unreached_reasons.ts";
export { selectAbortReason } from "./select_abort_reason.ts";
