/**
 * A clock of one process that can be paused, as a stopped VM is.
 */

import { Clock } from "../time/mod.ts";

/** Passes time on from another clock; what falls due during a pause runs at its end. */
export class PausableClock extends Clock {
  readonly #clock: Clock;
  #isPaused = false;
  #waiting: (() => void)[] = [];

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  /** Whether the process stands still. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  override nowMs(): number {
    return this.#clock.nowMs();
  }

  override monotonicMs(): number {
    return this.#clock.monotonicMs();
  }

  override schedule(delayMs: number, callback: () => void): () => void {
    let isCancelled = false;
    this.#clock.schedule(delayMs, () => {
      this.run(() => isCancelled || callback());
    });
    return () => {
      isCancelled = true;
    };
  }

  /** Runs something now, or at the end of the pause. */
  run(callback: () => void): void {
    if (this.#isPaused) {
      this.#waiting.push(callback);
    } else {
      callback();
    }
  }

  /** Stands still from now on. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Goes on. */
  resume(): void {
    this.#isPaused = false;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((callback) => callback());
  }
}
