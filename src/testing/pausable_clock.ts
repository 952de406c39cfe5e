/**
 * A process clock that can be paused, to simulate a suspended VM.
 */

import { Clock } from "../time/mod.ts";

/** Wraps another clock; callbacks that become due during a pause run when it ends. */
export class PausableClock extends Clock {
  readonly #clock: Clock;
  #isPaused = false;
  #deferred: (() => void)[] = [];

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  /** Whether the process is paused. */
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

  /** Runs a callback now, or when the pause ends. */
  run(callback: () => void): void {
    if (this.#isPaused) {
      this.#deferred.push(callback);
    } else {
      callback();
    }
  }

  /** Pauses the process; the underlying clock keeps running. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Resumes the process and runs the deferred callbacks. */
  resume(): void {
    this.#isPaused = false;
    const deferred = this.#deferred;
    this.#deferred = [];
    deferred.forEach((callback) => callback());
  }
}
