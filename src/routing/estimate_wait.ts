/**
 * Response time and cost estimates used to compare instances.
 */

import type { InstanceStats } from "./instance_stats.ts";

/** Cost to the caller of a call that is refused because of overload, in milliseconds. */
const OVERLOAD_COST_MS = 200;

/** Fraction of the service latency assumed for an instance without samples; below 1 so that it gets tried. */
const UNTRIED_LATENCY_RATIO = 0.5;

/** Inputs of the estimates besides the instance's statistics. */
export interface EstimateContext {
  readonly nowMs: number;
  /** Average latency of the service, in milliseconds. */
  readonly serviceLatencyMs: number;
  /** Number of slots that the instance announced. */
  readonly slots: number;
  /** Share of its normal load that the instance should receive, 0.1 to 1. */
  readonly slowStartWeight: number;
  /** Network round-trip time assumed for an instance without samples, in milliseconds. */
  readonly networkLatencyMs: number;
}

/**
 * Estimates the response time of an instance, to compare locality tiers.
 *
 * @param stats - Statistics of the instance
 * @param context - Current time, service latency and the instance's announcement
 * @returns The expected response time, in milliseconds
 *
 * @example
 * const waitMs = estimateWaitMs(stats, context);
 */
export function estimateWaitMs(
  stats: InstanceStats,
  context: EstimateContext,
): number {
  const { nowMs, serviceLatencyMs, slots, slowStartWeight, networkLatencyMs } =
    context;
  const latencyMs = stats.hasLatency
    ? stats.getLatencyMs(serviceLatencyMs, nowMs)
    : serviceLatencyMs * UNTRIED_LATENCY_RATIO + networkLatencyMs;
  const slownessRatio = stats.slowness.getRatio(nowMs);
  const loadFactor = (stats.getLoad(nowMs) + 1) / stats.getLimit(slots);
  const overloadMs = stats.getOverloadRatio(nowMs) * OVERLOAD_COST_MS;
  return latencyMs * slownessRatio * Math.max(1, loadFactor) /
      slowStartWeight + overloadMs;
}

/**
 * Estimates the cost of sending a call to an instance, to compare instances of
 * the same tier. Unlike the expected response time, it grows with each call in
 * flight.
 *
 * @param stats - Statistics of the instance
 * @param context - Current time, service latency and the instance's announcement
 * @returns A cost without a unit; lower is better
 *
 * @example
 * const isBetter = estimateCost(first, context) < estimateCost(second, context);
 */
export function estimateCost(
  stats: InstanceStats,
  context: EstimateContext,
): number {
  const utilization = stats.getLoad(context.nowMs) /
    stats.getLimit(context.slots);
  return estimateWaitMs(stats, context) * (1 + stats.inFlight) *
    (1 + utilization);
}
