/**
 * Decides when a call spills over to a more distant locality tier.
 *
 * If instances differ in speed, always using the fastest one would send most
 * calls to other failure domains for a gain that callers do not notice, and
 * fill the links needed by calls whose own domain has no capacity left.
 */

/** A farther instance is considered only if its expected wait is below this fraction of the nearer one's. */
const MAX_SPILL_WAIT_RATIO = 0.7;

/** Fraction of the target latency up to which a gain is negligible to the caller, within a region. */
const NEGLIGIBLE_GAIN_RATIO = 0.1;

/** The same between regions, whose link is narrow and shared by all traffic. */
const NEGLIGIBLE_CROSS_REGION_GAIN_RATIO = 0.5;

/** Utilization from which further calls are likely to queue. */
const SATURATED_UTILIZATION = 0.85;

/** Ratio of calls refused for overload above which an instance counts as saturated. */
const SATURATED_OVERLOAD_RATIO = 0.1;

/** Estimated performance of the best instance of a tier. */
export interface TierEstimate {
  /** Expected response time, in milliseconds. */
  readonly waitMs: number;
  /** Concurrent calls divided by the concurrency limit. */
  readonly utilization: number;
  /** Share of recent calls that were refused because of overload. */
  readonly overloadRatio: number;
}

/** Call for which tiers are compared. */
export interface SpillOptions {
  /** Target latency of the call, in milliseconds; if absent or 0, any clear gain is worthwhile. */
  readonly targetLatencyMs?: number | undefined;
  /** Whether the farther tier is in another region; false by default. */
  readonly isCrossRegion?: boolean | undefined;
}

/**
 * Decides whether a call spills over to a farther tier.
 *
 * @param near - Best instance of the nearer tiers
 * @param far - Best instance of the farther tier
 * @param options - Target latency of the call, and whether it would leave the region
 * @returns Whether the call goes to the farther instance
 *
 * @example
 * if (shouldSpillOver(near, far, { targetLatencyMs: 300 })) { picked = far; }
 */
export function shouldSpillOver(
  near: TierEstimate,
  far: TierEstimate,
  { targetLatencyMs = 0, isCrossRegion = false }: SpillOptions,
): boolean {
  if (far.waitMs >= near.waitMs * MAX_SPILL_WAIT_RATIO) {
    return false;
  }
  const negligibleRatio = isCrossRegion
    ? NEGLIGIBLE_CROSS_REGION_GAIN_RATIO
    : NEGLIGIBLE_GAIN_RATIO;
  const gainMs = near.waitMs - far.waitMs;
  return gainMs > targetLatencyMs * negligibleRatio || isSaturated(near);
}

function isSaturated({ utilization, overloadRatio }: TierEstimate): boolean {
  return utilization >= SATURATED_UTILIZATION ||
    overloadRatio > SATURATED_OVERLOAD_RATIO;
}
