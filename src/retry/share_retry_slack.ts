/**
 * Computes a daemon's share of the retry slack: the retries that the fleet may
 * make beyond the retry ratio.
 */

import type { EdgeBounds } from "./retry_budget.ts";

/** Window in which the retries of the fleet are counted, in seconds. */
const WINDOW_S = 10;

/** Part of a daemon's share that may be spent in a burst. */
const BURST_RATIO = 0.5;

/** Part of a daemon's share that is refilled per window. */
const REFILL_RATIO = 0.25;

/** Lower bound of the bucket capacity in tokens, so that an edge can save up one retry however small its share is. */
const MIN_MAX_TOKENS = 1;

/**
 * Divides the retry slack of the fleet among its daemons. Apart from retries
 * earned by successes, all daemons together stay below the slack in any window,
 * since the bursts and the refill of a window take three quarters of it.
 *
 * Shares below one retry are an exception: {@link MIN_MAX_TOKENS} lets each
 * daemon save up a whole retry, so after a time with few retries the fleet can
 * exceed the slack.
 *
 * @param retrySlack - Retries to one service that the fleet may make in a window
 * @param daemons - Number of daemons in the fleet, including this one
 * @returns The token bucket limits of each edge from this daemon
 *
 * @example
 * shareRetrySlack(48, 16); // { maxTokens: 1.5, initialTokens: 1.5, refillPerSecond: 0.075 }
 */
export function shareRetrySlack(
  retrySlack: number,
  daemons: number,
): EdgeBounds {
  const share = retrySlack / Math.max(1, daemons);
  return {
    maxTokens: Math.max(MIN_MAX_TOKENS, share * BURST_RATIO),
    initialTokens: share * BURST_RATIO,
    refillPerSecond: share * REFILL_RATIO / WINDOW_S,
  };
}
