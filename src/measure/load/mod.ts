/**
 * Open-loop load generator for experiments, and metrics computed from its reports.
 */

export { computeRecoveryMs } from "./compute_recovery_ms.ts";
export type { RecoveryOptions } from "./compute_recovery_ms.ts";
export { computeWastedWorkRatio } from "./compute_wasted_work_ratio.ts";
export { countRequests } from "./count_requests.ts";
export type { CountOptions, RequestCounts } from "./count_requests.ts";
export { driveLoad } from "./drive_load.ts";
export type {
  CallerBehavior,
  LoadPhase,
  LoadPlan,
  RequestKind,
} from "./load_plan.ts";
export { LoadRecorder } from "./load_recorder.ts";
export type { RequestResult } from "./load_recorder.ts";
export { FINAL_OUTCOMES } from "./load_report.ts";
export type {
  ClassCounts,
  FinalOutcome,
  LoadBucket,
  LoadReport,
} from "./load_report.ts";
