/**
 * The latest durations of one kind of request.
 *
 * A high quantile is wanted, not the mean: a request that outlasts the stop is
 * cut off. Recording costs one write; the quantile is computed during a stop only.
 */

/** Number of durations that are kept. */
const WINDOW_SIZE = 128;

/** Age up to which a duration counts, in milliseconds; older ones may be of another load or of a fault that is over. */
const MAX_AGE_MS = 120_000;

/** Number of durations from which on the longest one counts as an outlier. */
const MIN_OUTLIER_SAMPLES = 20;

interface Sample {
  readonly durationMs: number;
  readonly atMs: number;
}

/** Keeps durations, the oldest of which are replaced. */
export class DurationWindow {
  readonly #samples: Sample[] = [];
  #next = 0;

  /** Records a duration, in milliseconds, at a monotonic time. */
  record(durationMs: number, atMs: number): void {
    this.#samples[this.#next] = { durationMs, atMs };
    this.#next = (this.#next + 1) % WINDOW_SIZE;
  }

  /** Computes how long nearly all requests take, in milliseconds; undefined if none ended lately. */
  computeHighMs(nowMs: number): number | undefined {
    const sorted = this.#samples
      .filter(({ atMs }) => nowMs - atMs <= MAX_AGE_MS)
      .map(({ durationMs }) => durationMs)
      .sort((one, other) => one - other);
    return sorted.at(sorted.length < MIN_OUTLIER_SAMPLES ? -1 : -2);
  }
}
