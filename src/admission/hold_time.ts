/**
 * How long a call holds its slot.
 */

/** Weight of the latest call in the average. */
const LATEST_WEIGHT = 0.2;

/** Time assumed before any call has ended, in milliseconds. */
const FIRST_GUESS_MS = 20;

/** Averages the times for which calls held their slots. */
export class HoldTime {
  #averageMs: number | undefined;

  /** A call gave its slot back. */
  observe(durationMs: number): void {
    this.#averageMs = this.#averageMs === undefined
      ? durationMs
      : this.#averageMs + (durationMs - this.#averageMs) * LATEST_WEIGHT;
  }

  /**
   * The time to expect; calls that already run longer than those before them
   * raise it, so that a slowdown shows before the first slow call has ended.
   */
  estimateMs(meanAgeMs: number): number {
    return Math.max(1, this.#averageMs ?? FIRST_GUESS_MS, meanAgeMs);
  }
}
