/**
 * Best instance of a locality tier, with the figures by which tiers are compared.
 */

import type { MemberRecord } from "../generated/types.ts";
import { estimateWaitMs } from "./estimate_wait.ts";
import type { EstimateContext } from "./estimate_wait.ts";
import type { InstanceStats } from "./instance_stats.ts";
import type { TierEstimate } from "./should_spill_over.ts";

/** Instance that a call may be sent to, and its estimated performance. */
export interface Candidate extends TierEstimate {
  readonly record: MemberRecord;
}

/**
 * Creates the candidate for an instance.
 *
 * @param record - The instance
 * @param stats - Its statistics
 * @param context - Current time, service latency and the instance's announcement
 * @returns The candidate
 *
 * @example
 * const candidate = createCandidate(record, stats, context);
 */
export function createCandidate(
  record: MemberRecord,
  stats: InstanceStats,
  context: EstimateContext,
): Candidate {
  const { nowMs, slots } = context;
  return {
    record,
    waitMs: estimateWaitMs(stats, context),
    utilization: stats.getLoad(nowMs) / stats.getLimit(slots),
    overloadRatio: stats.getOverloadRatio(nowMs),
  };
}
