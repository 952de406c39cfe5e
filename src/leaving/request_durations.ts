/**
 * Durations of requests by kind, as callers of this daemon see them: from the
 * arrival until the response has been sent, queues and nested calls included.
 */

import { DurationWindow } from "./duration_window.ts";

/** Maximum number of kinds; beyond it, the one that was added first is forgotten. */
const MAX_KINDS = 2_000;

/** Durations of the latest requests of each kind. */
export class RequestDurations {
  readonly #windows = new Map<string, DurationWindow>();

  /** Records the duration of a request of a kind, in milliseconds. */
  record(kind: string, durationMs: number): void {
    let window = this.#windows.get(kind);
    if (!window) {
      window = new DurationWindow();
      this.#windows.set(kind, window);
      this.#removeOldest();
    }
    window.record(durationMs);
  }

  /** Estimates how long nearly all requests of a kind take, in milliseconds; undefined if none was measured. */
  estimateMs(kind: string): number | undefined {
    return this.#windows.get(kind)?.highMs;
  }

  #removeOldest(): void {
    const [oldest] = this.#windows.keys();
    if (this.#windows.size > MAX_KINDS && oldest !== undefined) {
      this.#windows.delete(oldest);
    }
  }
}
