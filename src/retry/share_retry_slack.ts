/**
 * A daemon's share of the retries that the fleet may make beyond the ratio.
 */

import type { EdgeBounds } from "./retry_budget.ts";

/** Time over which the fleet's retries are counted, in seconds. */
const WINDOW_S = 10;

/** Part of the share that may be spent at once; the rest comes back over the window. */
const BURST_RATIO = 0.5;

/** Part of the share that is gained in each window. */
const TRICKLE_RATIO = 0.25;

/** An edge can save up one retry, however small its share is. */
const MIN_MAX_TOKENS = 1;

/**
 * Divides the fleet's slack among its daemons. What all of them can spend in
 * one window stays below the slack, since bursts and the trickle of a window
 * take three quarters of it.
 *
 * @param retrySlack - Retries of one service that the fleet may make in a window
 * @param daemons - Daemons of the fleet, this one included
 * @returns What each edge from this daemon holds and gains
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
    refillPerSecond: share * TRICKLE_RATIO / WINDOW_S,
  };
}
