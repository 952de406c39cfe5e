/**
 * Durations of requests by kind: those of this daemon's callers from the arrival
 * of the body until the response has been sent, queues and nested calls included,
 * and those of runs on the backend server of this VM.
 */

import { DurationWindow } from "./duration_window.ts";

/** Maximum number of kinds; beyond it, the one that was added first is forgotten. */
const MAX_KINDS = 2_000;

/** Durations of the latest requests of each kind. */
export class RequestDurations {
  readonly #windows = new Map<string, DurationWindow>();

  /** Records the duration of a request of a kind, in milliseconds, at a monotonic time. */
  record(kind: string, durationMs: number, atMs: number): void {
    let window = this.#windows.get(kind);
    if (!window) {
      window = new DurationWindow();
      this.#windows.set(kind, window);
      this.#removeOldest();
    }
    window.record(durationMs, atMs);
  }

  /** Estimates how long nearly all requests of a kind take, in milliseconds; undefined if none was measured lately. */
  estimateMs(kind: string, nowMs: number): number | undefined {
    return this.#windows.get(kind)?.computeHighMs(nowMs);
  }

  #removeOldest(): void {
    const [oldest] = this.#windows.keys();
    if (this.#windows.size > MAX_KINDS && oldest !== undefined) {
      this.#windows.delete(oldest);
    }
  }
}
