/**
 * Decisions about retries.
 */

export {
  AllowanceRetryPolicy,
  EveryHopRetryPolicy,
  RetryPolicy,
} from "./retry_policy.ts";
export type { RetryQuestion } from "./retry_policy.ts";
