/**
 * A clock that tests advance manually.
 */

import { Clock } from "../time/mod.ts";

interface Timer {
  readonly dueMs: number;
  readonly order: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/** A clock whose time changes only when `advance` is called. */
export class ManualClock extends Clock {
  #nowMs = 1_800_000_000_000;
  #nextOrder = 0;
  /** Binary min-heap, ordered by due time and then by order of creation. */
  readonly #timers: Timer[] = [];

  override nowMs(): number {
    return this.#nowMs;
  }

  override monotonicMs(): number {
    return this.#nowMs;
  }

  override schedule(delayMs: number, callback: () => void): () => void {
    const dueMs = this.#nowMs + delayMs;
    const timer = {
      dueMs,
      order: this.#nextOrder,
      callback,
      isCancelled: false,
    };
    this.#nextOrder += 1;
    this.#insert(timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  /** Advances the time and runs the timers that become due, in order. */
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
    for (
      let first = this.#timers[0];
      first && first.dueMs <= endMs;
      first = this.#timers[0]
    ) {
      this.#removeFirst();
      if (!first.isCancelled) {
        return first;
      }
    }
    return undefined;
  }

  #insert(timer: Timer): void {
    const timers = this.#timers;
    let index = timers.length;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = timers[parentIndex];
      if (!parent || isBefore(parent, timer)) {
        break;
      }
      timers[index] = parent;
      index = parentIndex;
    }
    timers[index] = timer;
  }

  #removeFirst(): void {
    const timers = this.#timers;
    const last = timers.pop();
    if (!last || timers.length === 0) {
      return;
    }
    let index = 0;
    while (true) {
      const left = timers[2 * index + 1];
      const right = timers[2 * index + 2];
      const isRightFirst = left && right && isBefore(right, left);
      const child = isRightFirst ? right : left;
      if (!child || isBefore(last, child)) {
        break;
      }
      timers[index] = child;
      index = 2 * index + (isRightFirst ? 2 : 1);
    }
    timers[index] = last;
  }
}

function isBefore(one: Timer, other: Timer): boolean {
  return one.dueMs === other.dueMs
    ? one.order < other.order
    : one.dueMs < other.dueMs;
}
