/**
 * For how long an idle connection may be trusted to work.
 *
 * Answers the pattern of a backend server, or something on the way to it, that
 * forgets idle connections sooner than it says and without a word: what is sent
 * next on such a connection is reset, and nobody can tell whether it has run.
 * One reset after an idle time makes all connections that rested half as long
 * suspect; after a while longer ones are tried again.
 */

import type { Clock } from "../time/mod.ts";

/** Share of the idle time after which a connection was found dropped that is trusted from then on. */
const TRUSTED_RATIO = 0.5;

/** Idle time that is always trusted, in milliseconds; below it a reset has another cause. */
const MIN_TRUSTED_MS = 20;

/** Time for which a dropped connection is remembered, in milliseconds; longer than most faults last. */
const MEMORY_MS = 10_000;

/** Learns from connections that were dropped while idle. */
export class AdaptiveIdleLimit {
  readonly #clock: Clock;
  #trustedMs = Number.POSITIVE_INFINITY;
  #untilMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Longest idle time of a connection that is used again, in milliseconds. */
  get trustedMs(): number {
    return this.#clock.monotonicMs() < this.#untilMs
      ? this.#trustedMs
      : Number.POSITIVE_INFINITY;
  }

  /** A connection was reset before any byte of a response, after it had been idle for a while. */
  noteDropped(idleMs: number): void {
    if (idleMs < MIN_TRUSTED_MS) {
      return;
    }
    const trustedMs = Math.max(MIN_TRUSTED_MS, idleMs * TRUSTED_RATIO);
    this.#trustedMs = Math.min(this.trustedMs, trustedMs);
    this.#untilMs = this.#clock.monotonicMs() + MEMORY_MS;
  }
}
