/**
 * Estimate of how often something happens, weighted towards the last second.
 */

/** Time constant of the decay, in milliseconds. */
const TIME_CONSTANT_MS = 500;

/** Events per second with exponential decay. */
export class RateEstimator {
  #weight = 0;
  #updatedAtMs = 0;

  /** Counts an event. */
  record(nowMs: number): void {
    this.#decay(nowMs);
    this.#weight += 1;
  }

  /** Returns the events per second. */
  perSecond(nowMs: number): number {
    this.#decay(nowMs);
    return this.#weight * 1_000 / TIME_CONSTANT_MS;
  }

  #decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#weight *= Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    this.#updatedAtMs = nowMs;
  }
}
