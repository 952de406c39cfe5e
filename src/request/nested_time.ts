/**
 * Time in which a running call waited for deeper calls.
 */

import type { Clock } from "../time/mod.ts";

/** Measures time with at least one deeper call in flight. */
export class NestedTime {
  readonly #clock: Clock;
  #inFlight = 0;
  #sinceMs = 0;
  #totalMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Time so far, in milliseconds. */
  get totalMs(): number {
    const currentMs = this.#inFlight > 0
      ? this.#clock.monotonicMs() - this.#sinceMs
      : 0;
    return this.#totalMs + currentMs;
  }

  /** A deeper call begins. */
  begin(): void {
    if (this.#inFlight === 0) {
      this.#sinceMs = this.#clock.monotonicMs();
    }
    this.#inFlight += 1;
  }

  /** A deeper call has ended. */
  end(): void {
    this.#inFlight -= 1;
    if (this.#inFlight === 0) {
      this.#totalMs += this.#clock.monotonicMs() - this.#sinceMs;
    }
  }
}
