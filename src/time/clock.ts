/**
 * Clock abstraction. Code takes a clock as a dependency so that tests can
 * control time.
 */

import { CoarseTimers, MIN_COARSE_DELAY_MS } from "./coarse_timers.ts";

/** Longest delay of a coarse timer, in milliseconds; the few longer ones would only lengthen the list of slots. */
const MAX_COARSE_DELAY_MS = 60_000;

/** Provides the current time and timers. */
export abstract class Clock {
  /** Returns the wall-clock time in milliseconds since the Unix epoch. */
  abstract nowMs(): number;

  /** Returns a monotonic time in milliseconds, with an arbitrary origin. */
  abstract monotonicMs(): number;

  /** Calls `callback` once after `delayMs`. Returns a function that cancels the timer. */
  abstract schedule(delayMs: number, callback: () => void): () => void;

  /** Returns a promise that resolves after `delayMs`. */
  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.schedule(delayMs, resolve));
  }

  /** Calls `callback` every `intervalMs`. Returns a function that stops it. */
  scheduleEvery(intervalMs: number, callback: () => void): () => void {
    let cancel = this.schedule(intervalMs, fire);
    const schedule = this.schedule.bind(this);
    function fire(): void {
      cancel = schedule(intervalMs, fire);
      callback();
    }
    return () => cancel();
  }
}

/** System clock. Timers of a quarter of a second and more may be a few milliseconds late (see `coarse_timers.ts`). */
export class SystemClock extends Clock {
  readonly #coarseTimers = new CoarseTimers();

  override nowMs(): number {
    return Date.now();
  }

  override monotonicMs(): number {
    return performance.now();
  }

  override schedule(delayMs: number, callback: () => void): () => void {
    if (delayMs >= MIN_COARSE_DELAY_MS && delayMs <= MAX_COARSE_DELAY_MS) {
      return this.#coarseTimers.schedule(delayMs, callback);
    }
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  }
}
