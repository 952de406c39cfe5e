/**
 * Slow start: a cold instance receives a growing share of its normal load.
 */

/** Duration of the slow start ramp, in milliseconds. */
export const SLOW_START_MS = 10_000;

/** Lower bound of the weight, so that a cold instance receives enough calls to warm up. */
const MIN_SLOW_START_WEIGHT = 0.1;

/**
 * Computes the share of its normal load that a starting instance should receive.
 *
 * @param warmAtMs - When the instance reaches full speed, in milliseconds
 * @param nowMs - Current time on the same clock, in milliseconds
 * @returns A weight between 0.1 and 1
 *
 * @example
 * const weight = computeSlowStartWeight(record.warmAtMs, clock.nowMs());
 */
export function computeSlowStartWeight(
  warmAtMs: number,
  nowMs: number,
): number {
  const progress = 1 - (warmAtMs - nowMs) / SLOW_START_MS;
  return Math.min(1, Math.max(MIN_SLOW_START_WEIGHT, progress));
}
