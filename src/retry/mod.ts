/**
 * Retry policy, retry budget and coalescing of duplicate calls.
 */

export { CallJoiner, MAX_JOINABLE_CALLS } from "./call_joiner.ts";
export { createJoinKey } from "./create_join_key.ts";
export type { JoinKeyParts } from "./create_join_key.ts";
export { RetryAllowance } from "./retry_allowance.ts";
export { locateDaemon } from "./locate_daemon.ts";
export type { FleetPosition } from "./locate_daemon.ts";
export { shareRetrySlack } from "./share_retry_slack.ts";
export { DEFAULT_EDGE_BOUNDS, RetryBudget } from "./retry_budget.ts";
export {
  AllowanceRetryPolicy,
  PerHopRetryPolicy,
  RetryPolicy,
} from "./retry_policy.ts";
export type { RetryContext } from "./retry_policy.ts";
