/**
 * What callers gain if calls leave a full failure domain, against what it costs.
 */

import type { DomainLoad } from "./domain_load.ts";
import type { SpillTarget } from "./spill_direction.ts";

/** Cost to the caller of a call that is refused because of load: a multiple of the target latency, and at least this, in milliseconds. */
const REFUSAL_COST_RATIO = 2;
const MIN_REFUSAL_COST_MS = 200;

/** Price of a kilobyte that leaves the domain, as the latency that is worth it, in milliseconds; the paid link between regions is dearer. */
const MS_PER_KB_IN_REGION = 0.1;
const MS_PER_KB_BETWEEN_REGIONS = 1;

/** Share of the target latency that must be gained between regions, whose link is narrow and shared by all traffic. */
const MIN_CROSS_REGION_GAIN_RATIO = 0.5;

const BYTES_PER_KB = 1_000;

/** Own domain and one other, as observed. */
export interface SpillComparison {
  readonly own: DomainLoad;
  readonly other: DomainLoad;
  readonly target: SpillTarget;
}

/** Further factors. */
export interface SpillGainOptions {
  /** Latency that calls aim for, in milliseconds; 0 if unknown. */
  readonly targetLatencyMs: number;
}

/**
 * Computes the gain of a call that leaves. Without replies from the other
 * domain, calls are assumed to take as long there as here without a queue.
 *
 * @param comparison - Own domain and the other one
 * @param options - Target latency
 * @returns Time gained less the price, in milliseconds; leaving pays if positive
 *
 * @example
 * if (computeSpillGain({ own, other, target }, { targetLatencyMs: 300 }) > 0) { spill(); }
 */
export function computeSpillGain(
  { own, other, target }: SpillComparison,
  { targetLatencyMs }: SpillGainOptions,
): number {
  const { durationMs = 0, loadRatio = 1, meanRefusedRatio, bytes } = own;
  const refusalCostMs = Math.max(
    MIN_REFUSAL_COST_MS,
    REFUSAL_COST_RATIO * targetLatencyMs,
  );
  const unqueuedMs = durationMs / Math.max(1, loadRatio);
  const otherMs = other.durationMs ?? unqueuedMs + target.networkLatencyMs;
  const gainMs = durationMs + meanRefusedRatio * refusalCostMs - otherMs;
  const msPerKb = target.isOwnRegion
    ? MS_PER_KB_IN_REGION
    : MS_PER_KB_BETWEEN_REGIONS;
  const requiredMs = target.isOwnRegion
    ? 0
    : targetLatencyMs * MIN_CROSS_REGION_GAIN_RATIO;
  return gainMs - requiredMs - bytes / BYTES_PER_KB * msPerKb;
}
