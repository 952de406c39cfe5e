/**
 * Concurrency limit learned from shed calls (additive increase, multiplicative
 * decrease).
 *
 * A backend server with fewer slots than it announced sheds the calls above
 * them, and the limit follows. A faulty one sheds some calls at any concurrency:
 * a lower limit would only add refusals and outlast the fault, since only more
 * calls can show that it is over. The two cases are told apart by the
 * concurrency at which calls were accepted in the same period.
 */

import type { Clock } from "../time/mod.ts";

/** Multiplicative decrease for a call that a full backend server sheds. */
const DECREASE_FACTOR = 0.9;

/** Additive increase per round of as many accepted calls as the limit; the limit grows by one in two rounds, so one call in twice the limit probes for more. */
const INCREASE_PER_ROUND = 0.5;

/** Length of a window for the highest accepted concurrency, in milliseconds. */
const WINDOW_MS = 1_000;

/** Adapts a limit to the calls that a backend server accepts and sheds. */
export class ShedLimit {
  readonly #clock: Clock;
  readonly #ceiling: number;
  #value: number;
  #maxAccepted = 0;
  #previousMaxAccepted = 0;
  #windowStartedAtMs = 0;

  constructor(clock: Clock, ceiling: number) {
    this.#clock = clock;
    this.#ceiling = ceiling;
    this.#value = ceiling;
  }

  /** Calls that may run concurrently; not rounded. */
  get value(): number {
    return this.#value;
  }

  /**
   * Records an accepted call.
   *
   * @param concurrency - Calls in flight when it started, including itself
   */
  recordAccepted(concurrency: number): void {
    this.#rotateWindow();
    this.#maxAccepted = Math.max(this.#maxAccepted, concurrency);
    this.#value = Math.min(
      this.#ceiling,
      this.#value + INCREASE_PER_ROUND / this.#value,
    );
  }

  /**
   * Records a shed call.
   *
   * @param concurrency - Calls in flight when it started, including itself
   */
  recordShed(concurrency: number): void {
    this.#rotateWindow();
    const isFull = concurrency >
      Math.max(this.#maxAccepted, this.#previousMaxAccepted);
    // A call that started above the current limit was admitted under an earlier one.
    if (isFull && concurrency <= this.#value) {
      this.#value = Math.max(1, this.#value * DECREASE_FACTOR);
    }
  }

  #rotateWindow(): void {
    const nowMs = this.#clock.monotonicMs();
    const ageMs = nowMs - this.#windowStartedAtMs;
    if (ageMs < WINDOW_MS) {
      return;
    }
    this.#windowStartedAtMs = nowMs;
    this.#previousMaxAccepted = ageMs < 2 * WINDOW_MS ? this.#maxAccepted : 0;
    this.#maxAccepted = 0;
  }
}
