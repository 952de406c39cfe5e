/**
 * When a call leaves its surroundings for an instance further away.
 *
 * Answers the pattern of instances that differ in speed: whoever always takes
 * the fastest sends most calls across failure domains for a gain that no caller
 * notices, and fills the links that calls need whose own surroundings are full.
 */

/** Share of the near wait below which a far wait is worth the way. */
const SPILL_RATIO = 0.7;

/** Part of the latency aimed at that a caller does not notice. */
const UNNOTICED_RATIO = 0.1;

/** Share of an instance's limit from which its next calls are likely to wait. */
const CROWDED_RATIO = 0.85;

/** Share of refusals for overload from which an instance counts as crowded. */
const REFUSING_RATIO = 0.1;

/** What is known of the best instance at some distance. */
export interface Prospect {
  /** Expected time until it answers, in milliseconds. */
  readonly waitMs: number;
  /** Calls that it holds, as a share of those it can run. */
  readonly utilization: number;
  /** Share of recent calls that it refused for overload. */
  readonly overloadRatio: number;
}

/**
 * Decides whether to go further.
 *
 * @param near - The best instance that is nearer
 * @param far - The best one further away
 * @param options - Latency that the call aims at, in milliseconds; 0 where every gain counts
 * @returns Whether the call goes to the one further away
 *
 * @example
 * if (isWorthTheWay(near, far, { targetLatencyMs: 300 })) { chosen = far; }
 */
export function isWorthTheWay(
  near: Prospect,
  far: Prospect,
  { targetLatencyMs = 0 }: { readonly targetLatencyMs?: number | undefined },
): boolean {
  if (far.waitMs >= near.waitMs * SPILL_RATIO) {
    return false;
  }
  const gainMs = near.waitMs - far.waitMs;
  return gainMs > targetLatencyMs * UNNOTICED_RATIO || isCrowded(near);
}

function isCrowded({ utilization, overloadRatio }: Prospect): boolean {
  return utilization >= CROWDED_RATIO || overloadRatio > REFUSING_RATIO;
}
