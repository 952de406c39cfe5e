/**
 * Rate limiting of log lines per event, with one token bucket per event.
 */

import type { Clock } from "../time/mod.ts";

/** Capacity of the token bucket of an event, in lines. */
const BURST_LINES = 20;

/** Sustained number of lines per second of an event. */
const LINES_PER_SECOND = 4;

/** Maximum number of events with a token bucket of their own. */
const MAX_EVENTS = 256;

/** Name of the token bucket that all further events share. */
const SHARED_BUCKET = "";

interface Bucket {
  tokens: number;
  updatedAtMs: number;
  suppressed: number;
}

/** Limits the rate of log lines per event and counts the suppressed ones. */
export class LogRateLimiter {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, Bucket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Requests permission to log a line of an event. Returns the number of lines
   * suppressed since the last one that was logged, or undefined if this line is
   * suppressed as well.
   */
  take(event: string): number | undefined {
    const nowMs = this.#clock.monotonicMs();
    const hasOwnBucket = this.#buckets.has(event) ||
      this.#buckets.size < MAX_EVENTS;
    const name = hasOwnBucket ? event : SHARED_BUCKET;
    const bucket = this.#buckets.get(name) ??
      { tokens: BURST_LINES, updatedAtMs: nowMs, suppressed: 0 };
    const refilledTokens = (nowMs - bucket.updatedAtMs) / 1_000 *
      LINES_PER_SECOND;
    bucket.tokens = Math.min(BURST_LINES, bucket.tokens + refilledTokens);
    bucket.updatedAtMs = nowMs;
    this.#buckets.set(name, bucket);
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
