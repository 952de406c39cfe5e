/**
 * Decisions about retries.
 */

export { CallJoiner, MAX_JOINABLE_CALLS } from "./call_joiner.ts";
export { createJoinKey } from "./create_join_key.ts";
export type { JoinableParts } from "./create_join_key.ts";
export { RetryAllowance } from "./retry_allowance.ts";
export { shareRetrySlack } from "./share_retry_slack.ts";
export { DEFAULT_EDGE_BOUNDS, RetryBudget } from "./retry_budget.ts";
export {
  AllowanceRetryPolicy,
  EveryHopRetryPolicy,
  RetryPolicy,
} from "./retry_policy.ts";
export type { RetryQuestion } from "./retry_policy.ts";
