/**
 * The end of a daemon's stop: its phases, which requests it still begins, and
 * what becomes of those that do not end in time.
 */

export { createRunKind } from "./create_run_kind.ts";
export type { RunningCall } from "./create_run_kind.ts";
export { createStopSchedule } from "./create_stop_schedule.ts";
export type { StopSchedule } from "./create_stop_schedule.ts";
export { RequestDurations } from "./request_durations.ts";
export { StopControl } from "./stop_control.ts";
export type { StopCounts, StopRequest } from "./stop_control.ts";
