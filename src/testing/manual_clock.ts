/**
 * A clock that tests move by hand.
 */

import { Clock } from "../time/mod.ts";

interface Timer {
  readonly dueMs: number;
  readonly callback: () => void;
}

/** Time stands still until `advance` is called. */
export class ManualClock extends Clock {
  #nowMs = 1_800_000_000_000;
  #timers: Timer[] = [];

  override nowMs(): number {
    return this.#nowMs;
  }

  override monotonicMs(): number {
    return this.#nowMs;
  }

  override schedule(delayMs: number, callback: () => void): () => void {
    const timer = { dueMs: this.#nowMs + delayMs, callback };
    this.#timers.push(timer);
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /** Moves time on and runs what falls due, in order. */
  advance(durationMs: number): void {
    const endMs = this.#nowMs + durationMs;
    for (
      let timer = this.#takeDue(endMs);
      timer;
      timer = this.#takeDue(endMs)
    ) {
      this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
      timer.callback();
    }
    this.#nowMs = endMs;
  }

  #takeDue(endMs: number): Timer | undefined {
    const due = this.#timers.filter(({ dueMs }) => dueMs <= endMs);
    const next = due.reduce<Timer | undefined>(
      (first, timer) => first && first.dueMs <= timer.dueMs ? first : timer,
      undefined,
    );
    this.#timers = this.#timers.filter((timer) => timer !== next);
    return next;
  }
}
