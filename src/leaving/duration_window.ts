/**
 * The latest durations of one kind of request.
 *
 * A high quantile is wanted, not the mean: a request that outlasts the stop is
 * cut off. Recording costs one write; the quantile is computed during a stop only.
 */

/** Number of durations that are kept. */
const WINDOW_SIZE = 128;

/** Quantile of the durations that counts as their high one. */
const HIGH_QUANTILE = 0.99;

/** Keeps durations, the oldest of which are replaced. */
export class DurationWindow {
  readonly #durationsMs: number[] = [];
  #next = 0;

  /** Records a duration, in milliseconds. */
  record(durationMs: number): void {
    this.#durationsMs[this.#next] = durationMs;
    this.#next = (this.#next + 1) % WINDOW_SIZE;
  }

  /** High quantile of the durations, in milliseconds; the longest if there are few. */
  get highMs(): number {
    const sorted = [...this.#durationsMs].sort((a, b) => a - b);
    const rank = Math.ceil(sorted.length * HIGH_QUANTILE);
    return sorted[Math.max(0, rank - 1)] ?? 0;
  }
}
