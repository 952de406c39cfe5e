/**
 * Estimates by which instances are compared.
 */

import type { InstanceStats } from "./instance_stats.ts";

/** What a refusal for overload costs the caller, in milliseconds. */
const OVERLOAD_COST_MS = 200;

/** Share of the usual latency hoped for from an instance that was never tried, so that it gets tried. */
const UNTRIED_RATIO = 0.5;

/** What the estimates depend on besides the observations. */
export interface EstimateContext {
  readonly nowMs: number;
  /** Average latency of the service, in milliseconds. */
  readonly usualLatencyMs: number;
  /** Slots that the instance announced. */
  readonly slots: number;
  /** Share of its full speed that the instance has reached. */
  readonly warmRatio: number;
  /** Time on the network to an instance that has not been measured, in milliseconds. */
  readonly distanceMs: number;
}

/**
 * Estimates the time until an instance answers, to compare near and far ones.
 *
 * @param stats - Observations of the instance
 * @param context - Time, averages and the instance's announcement
 * @returns The expected wait, in milliseconds
 *
 * @example
 * const waitMs = estimateWaitMs(stats, context);
 */
export function estimateWaitMs(
  stats: InstanceStats,
  context: EstimateContext,
): number {
  const { nowMs, usualLatencyMs, slots, warmRatio, distanceMs } = context;
  const latencyMs = stats.hasLatency
    ? stats.readLatencyMs(usualLatencyMs, nowMs)
    : usualLatencyMs * UNTRIED_RATIO + distanceMs;
  const crowding = (stats.readLoad(nowMs) + 1) / stats.readLimit(slots);
  const overloadMs = stats.readOverloadRatio(nowMs) * OVERLOAD_COST_MS;
  return latencyMs * Math.max(1, crowding) / warmRatio + overloadMs;
}

/**
 * Estimates how much an instance is worth avoiding among those equally near.
 *
 * @param stats - Observations of the instance
 * @param context - Time, averages and the instance's announcement
 * @returns A cost; the lower one of two is chosen
 *
 * @example
 * const isBetter = estimateCost(one, context) < estimateCost(other, context);
 */
export function estimateCost(
  stats: InstanceStats,
  context: EstimateContext,
): number {
  const utilization = stats.readLoad(context.nowMs) /
    stats.readLimit(context.slots);
  return estimateWaitMs(stats, context) * (1 + stats.inFlight) *
    (1 + utilization);
}
