/**
 * Outcomes of calls, represented as values.
 */

export { createRefusal } from "./create_refusal.ts";
export type { RefusalOptions } from "./create_refusal.ts";
export { createUnknownOutcome } from "./create_unknown_outcome.ts";
export type { UnknownOutcomeOptions } from "./create_unknown_outcome.ts";
export { isFinalStatus } from "./is_final_status.ts";
export { REASONS } from "./outcome.ts";
export type {
  Answer,
  CallFailure,
  CallResult,
  Reason,
  Refusal,
  UnknownOutcome,
} from "./outcome.ts";
export { UNREACHED_REASONS } from "./unreached_reasons.ts";
export { selectAbortReason } from "./select_abort_reason.ts";
