/**
 * Measures how long a running call waits for nested calls.
 */

import type { Clock } from "../time/mod.ts";

/** Accumulates the time during which at least one nested call is in flight. */
export class NestedCallTimer {
  readonly #clock: Clock;
  #inFlight = 0;
  #startedAtMs = 0;
  #totalMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Accumulated time, in milliseconds. */
  get totalMs(): number {
    const currentMs = this.#inFlight > 0
      ? this.#clock.monotonicMs() - this.#startedAtMs
      : 0;
    return this.#totalMs + currentMs;
  }

  /** Records the start of a nested call. */
  start(): void {
    if (this.#inFlight === 0) {
      this.#startedAtMs = this.#clock.monotonicMs();
    }
    this.#inFlight += 1;
  }

  /** Records the end of a nested call. */
  stop(): void {
    this.#inFlight -= 1;
    if (this.#inFlight === 0) {
      this.#totalMs += this.#clock.monotonicMs() - this.#startedAtMs;
    }
  }
}
