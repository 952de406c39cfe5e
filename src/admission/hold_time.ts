/**
 * How long a call holds its slot.
 */

/** Weight of the latest call in the average. */
const LATEST_WEIGHT = 0.2;

/** Time assumed before any call has ended, in milliseconds. */
const FIRST_GUESS_MS = 20;

/** Averages the times for which calls held their slots, of each class and of all. */
export class HoldTime {
  readonly #averagesMs: number[] = [];
  #averageMs: number | undefined;

  /** A call gave its slot back. */
  observe(durationMs: number, classRank: number): void {
    this.#averageMs = average(this.#averageMs, durationMs);
    this.#averagesMs[classRank] = average(
      this.#averagesMs[classRank],
      durationMs,
    );
  }

  /**
   * The time to expect; calls that already run longer than those before them
   * raise it, so that a slowdown shows before the first slow call has ended.
   */
  estimateMs(meanAgeMs: number): number {
    return Math.max(1, this.#averageMs ?? FIRST_GUESS_MS, meanAgeMs);
  }

  /** The time to expect of one class. */
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
