/**
 * Computes a daemon's share of the retry slack: the retries that the fleet may
 * make beyond the retry ratio.
 */

import type { FleetPosition } from "./locate_daemon.ts";
import type { EdgeBounds } from "./retry_budget.ts";

/** Window in which the retries of the fleet are counted, in seconds. */
const WINDOW_S = 10;

/** Part of the slack that may be spent in a burst. */
const BURST_RATIO = 0.5;

/**
 * The same if a daemon's share is below one whole retry, so that only some daemons
 * hold one.
 */
const WHOLE_RETRY_BURST_RATIO = 0.75;

/** Part of the slack that is refilled per window. */
const REFILL_RATIO = 0.25;

/** Minimum capacity of the bucket for retries earned by successes, in tokens. */
const MIN_EARNED_TOKENS = 1;

/**
 * Divides the retry slack of the fleet among its daemons. Apart from retries
 * earned by successes, all daemons together stay within the slack in any window,
 * since the bursts and the refill of a window do not exceed it.
 *
 * If the share of a burst is below one retry, as many daemons hold a whole one as
 * the shares of the fleet add up to, and the others none.
 *
 * @param retrySlack - Retries to one service that the fleet may make in a window
 * @param position - Size of the fleet, and this daemon's index
 * @returns The token bucket limits of each edge from this daemon
 *
 * @example
 * shareRetrySlack(48, { daemons: 16, index: 0 }); // { maxTokens: 1.5, initialTokens: 1.5, maxRefilledTokens: 1.5, refillPerSecond: 0.075 }
 */
export function shareRetrySlack(
  retrySlack: number,
  { daemons, index }: FleetPosition,
): EdgeBounds {
  const share = retrySlack / Math.max(1, daemons);
  const refillPerSecond = share * REFILL_RATIO / WINDOW_S;
  const burst = share * BURST_RATIO;
  if (burst >= 1) {
    return {
      maxTokens: burst,
      initialTokens: burst,
      maxRefilledTokens: burst,
      refillPerSecond,
    };
  }
  const holderRatio = Math.min(1, share * WHOLE_RETRY_BURST_RATIO);
  const isHolder = Math.floor((index + 1) * holderRatio) >
    Math.floor(index * holderRatio);
  const tokens = isHolder ? 1 : 0;
  return {
    maxTokens: MIN_EARNED_TOKENS,
    initialTokens: tokens,
    maxRefilledTokens: tokens,
    refillPerSecond: isHolder ? refillPerSecond / holderRatio : 0,
  };
}
