/**
 * Estimates how long calls hold their slots, by exponential moving averages.
 */

/** Weight of the latest call in the moving average. */
const LATEST_WEIGHT = 0.2;

/** Estimate before any call has completed, in milliseconds. */
const INITIAL_ESTIMATE_MS = 20;

/** Moving averages of slot hold times, per class and over all classes. */
export class HoldTimeEstimator {
  readonly #averagesMs: number[] = [];
  #averageMs: number | undefined;

  /** Records the hold time of a completed call, in milliseconds. */
  observe(durationMs: number, classRank: number): void {
    this.#averageMs = average(this.#averageMs, durationMs);
    this.#averagesMs[classRank] = average(
      this.#averagesMs[classRank],
      durationMs,
    );
  }

  /**
   * Estimates the hold time over all classes, in milliseconds. Calls that have
   * been running longer than the average raise it, so that a slowdown shows
   * before the first slow call completes.
   *
   * @param meanAgeMs - Mean age of the running calls, in milliseconds
   */
  estimateMs(meanAgeMs: number): number {
    return Math.max(1, this.#averageMs ?? INITIAL_ESTIMATE_MS, meanAgeMs);
  }

  /** Estimates the hold time of one class, in milliseconds. */
  estimateClassMs(classRank: number, meanAgeMs: number): number {
    const averageMs = this.#averagesMs[classRank];
    return averageMs === undefined
      ? this.estimateMs(meanAgeMs)
      : Math.max(1, averageMs, meanAgeMs);
  }
}

function average(averageMs: number | undefined, latestMs: number): number {
  return averageMs === undefined
    ? latestMs
    : averageMs + (latestMs - averageMs) * LATEST_WEIGHT;
}
