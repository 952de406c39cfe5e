/**
 * Estimates how much time nested calls have left when they arrive.
 *
 * Of the calls that a request makes one after the other, the later ones have
 * less time, so that a low quantile shows whether requests can still wait.
 */

/** Share of the calls that have less time left than the estimate. */
const QUANTILE = 0.1;

/** Largest change of the estimate for one call, in milliseconds. */
const STEP_MS = 5;

/** A low quantile of the time that calls have left. */
export class TimeLeftEstimator {
  #lowMs: number | undefined;

  /** Time that nine in ten calls have at least, in milliseconds; 0 before the first call. */
  get lowMs(): number {
    return Math.max(0, this.#lowMs ?? 0);
  }

  /** Records the time until the deadline of an arriving call, in milliseconds. */
  record(remainingMs: number): void {
    const lowMs = this.#lowMs ?? remainingMs;
    // Stochastic approximation: the changes balance where the quantile is.
    this.#lowMs = lowMs +
      STEP_MS * (remainingMs < lowMs ? QUANTILE - 1 : QUANTILE);
  }
}
