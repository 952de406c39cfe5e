/**
 * Decides when a call spills over to a more distant locality tier.
 *
 * If instances differ in speed, always using the fastest one would send most
 * calls to other failure domains for a gain that callers do not notice, and
 * fill the links needed by calls whose own domain has no capacity left.
 */

/** A farther instance is considered only if its expected wait is below this fraction of the nearer one's. */
const MAX_SPILL_WAIT_RATIO = 0.7;

/** Fraction of the target latency up to which a gain is negligible to the caller. */
const NEGLIGIBLE_GAIN_RATIO = 0.1;

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

/**
 * Decides whether a call spills over to a farther tier.
 *
 * @param near - Best instance of the nearer tiers
 * @param far - Best instance of the farther tier
 * @param options - Target latency of the call, in milliseconds; if it is
 *   absent or 0, any gain beyond the wait ratio is worthwhile
 * @returns Whether the call goes to the farther instance
 *
 * @example
 * if (shouldSpillOver(near, far, { targetLatencyMs: 300 })) { picked = far; }
 */
export function shouldSpillOver(
  near: TierEstimate,
  far: TierEstimate,
  { targetLatencyMs = 0 }: { readonly targetLatencyMs?: number | undefined },
): boolean {
  if (far.waitMs >= near.waitMs * MAX_SPILL_WAIT_RATIO) {
    return false;
  }
  const gainMs = near.waitMs - far.waitMs;
  return gainMs > targetLatencyMs * NEGLIGIBLE_GAIN_RATIO || isSaturated(near);
}

function isSaturated({ utilization, overloadRatio }: TierEstimate): boolean {
  return utilization >= SATURATED_UTILIZATION ||
    overloadRatio > SATURATED_OVERLOAD_RATIO;
}
