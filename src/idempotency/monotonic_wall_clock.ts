/**
 * Time since the epoch that never steps back.
 */

import type { Clock } from "../time/mod.ts";

/** Wall time of the moment of creation, moved on by the monotonic clock. */
export class MonotonicWallClock {
  readonly #clock: Clock;
  readonly #offsetMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#offsetMs = clock.nowMs() - clock.monotonicMs();
  }

  /** Time since the epoch, in milliseconds; steps of the wall clock don't show. */
  nowMs(): number {
    return this.#clock.monotonicMs() + this.#offsetMs;
  }
}
