/**
 * A bound on the log lines of each event.
 */

import type { Clock } from "../time/mod.ts";

/** Lines of one event that may follow each other at once. */
const BURST_LINES = 20;

/** Lines of one event in each second in the long run. */
const LINES_PER_SECOND = 4;

/** Events that are told apart. */
const MAX_EVENTS = 256;

interface Bucket {
  tokens: number;
  updatedAtMs: number;
  suppressed: number;
}

/** Counts lines by event. */
export class LogRateLimiter {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, Bucket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Takes a line of an event: the lines left out since the last one that was
   * written, or undefined where this one is left out too.
   */
  take(event: string): number | undefined {
    const nowMs = this.#clock.monotonicMs();
    const bucket = this.#buckets.get(event) ??
      { tokens: BURST_LINES, updatedAtMs: nowMs, suppressed: 0 };
    const gained = (nowMs - bucket.updatedAtMs) / 1_000 * LINES_PER_SECOND;
    bucket.tokens = Math.min(BURST_LINES, bucket.tokens + gained);
    bucket.updatedAtMs = nowMs;
    if (this.#buckets.size < MAX_EVENTS) {
      this.#buckets.set(event, bucket);
    }
    if (bucket.tokens < 1) {
      bucket.suppressed += 1;
      return undefined;
    }
    const { suppressed } = bucket;
    bucket.tokens -= 1;
    bucket.suppressed = 0;
    return suppressed;
  }
}
