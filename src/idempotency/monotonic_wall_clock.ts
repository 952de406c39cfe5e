/**
 * Wall-clock time that never goes backwards.
 */

import type { Clock } from "../time/mod.ts";

/** Advances the wall-clock time at its creation by the monotonic clock. */
export class MonotonicWallClock {
  readonly #clock: Clock;
  readonly #offsetMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#offsetMs = clock.nowMs() - clock.monotonicMs();
  }

  /** Time since the epoch, in milliseconds; unaffected by later steps of the wall clock. */
  nowMs(): number {
    return this.#clock.monotonicMs() + this.#offsetMs;
  }
}
