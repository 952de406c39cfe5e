/**
 * Counts the requests in progress, and waits for their end.
 */

import type { Clock } from "../time/mod.ts";

/** Interval at which a stopping daemon checks for requests in progress, in milliseconds. */
const DRAIN_POLL_MS = 20;

/** Requests that a daemon serves at present. */
export class RequestTracker {
  readonly #clock: Clock;
  #count = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of requests in progress. */
  get count(): number {
    return this.#count;
  }

  /** Counts a request until it has been served. */
  async track<T>(run: () => Promise<T>): Promise<T> {
    this.#count += 1;
    try {
      return await run();
    } finally {
      this.#count -= 1;
    }
  }

  /** Waits until no request has been in progress for a period, or until the deadline on the monotonic clock. */
  async waitUntilIdle(idlePeriodMs: number, deadlineMs: number): Promise<void> {
    const clock = this.#clock;
    let lastBusyAtMs = clock.monotonicMs();
    while (clock.monotonicMs() < deadlineMs) {
      if (this.#count > 0) {
        lastBusyAtMs = clock.monotonicMs();
      } else if (clock.monotonicMs() - lastBusyAtMs >= idlePeriodMs) {
        return;
      }
      await clock.sleep(DRAIN_POLL_MS);
    }
  }

  /** Waits until a condition holds, or until the deadline on the monotonic clock. */
  async waitUntil(check: () => boolean, deadlineMs: number): Promise<void> {
    const clock = this.#clock;
    while (!check() && clock.monotonicMs() < deadlineMs) {
      await clock.sleep(DRAIN_POLL_MS);
    }
  }
}
