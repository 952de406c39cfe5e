/**
 * Rate at which held bytes have been released lately.
 */

import type { Clock } from "../time/mod.ts";

/** Time constant of the average, in milliseconds. */
const AVERAGING_MS = 2_000;

/** Bounds of an estimate, in milliseconds: shorter ones would let callers return before room is likely, and longer ones would outlast most deadlines. */
const MIN_ESTIMATE_MS = 250;
const MAX_ESTIMATE_MS = 5_000;

/** Exponentially weighted average of released bytes. */
export class ReleaseRate {
  readonly #clock: Clock;
  #weightedBytes = 0;
  #updatedAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAtMs = clock.monotonicMs();
  }

  /** Records that bytes were released. */
  record(bytes: number): void {
    this.#decay();
    this.#weightedBytes += bytes;
  }

  /** Estimates the time until `bytes` have been released, in milliseconds. */
  estimateMs(bytes: number): number {
    this.#decay();
    const bytesPerMs = this.#weightedBytes / AVERAGING_MS;
    const estimateMs = bytesPerMs > 0 ? bytes / bytesPerMs : MAX_ESTIMATE_MS;
    return Math.min(MAX_ESTIMATE_MS, Math.max(MIN_ESTIMATE_MS, estimateMs));
  }

  #decay(): void {
    const nowMs = this.#clock.monotonicMs();
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#weightedBytes *= Math.exp(-elapsedMs / AVERAGING_MS);
    this.#updatedAtMs = nowMs;
  }
}
