/**
 * Slow start of instances.
 */

/** Time over which an instance is loaded more and more, in milliseconds. */
export const SLOW_START_MS = 10_000;

/** Least share of the usual load, so that a cold instance gets to warm up. */
const MIN_WARM_RATIO = 0.1;

/**
 * Computes the share of its full speed that a starting instance has reached.
 *
 * @param warmAtMs - When it serves at full speed
 * @param nowMs - Time now, on the same clock
 * @returns A share between a tenth and 1
 *
 * @example
 * const warmRatio = computeWarmRatio(record.warmAtMs, clock.nowMs());
 */
export function computeWarmRatio(warmAtMs: number, nowMs: number): number {
  const reached = 1 - (warmAtMs - nowMs) / SLOW_START_MS;
  return Math.min(1, Math.max(MIN_WARM_RATIO, reached));
}
