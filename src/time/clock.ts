/**
 * Time as a dependency, so that tests can move it by hand.
 */

/** Source of time and of timers. */
export abstract class Clock {
  /** Time since the epoch, in milliseconds. */
  abstract nowMs(): number;

  /** Monotonic time, in milliseconds. */
  abstract monotonicMs(): number;

  /** Calls `callback` once after `delayMs`; the result cancels it. */
  abstract schedule(delayMs: number, callback: () => void): () => void;

  /** Resolves after `delayMs`. */
  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.schedule(delayMs, resolve));
  }

  /** Calls `callback` every `intervalMs` until the result is called. */
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

/** The clock of the machine. */
export class SystemClock extends Clock {
  override nowMs(): number {
    return Date.now();
  }

  override monotonicMs(): number {
    return performance.now();
  }

  override schedule(delayMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  }
}
