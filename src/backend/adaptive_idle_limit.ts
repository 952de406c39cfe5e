/**
 * A limit on the idle time of connections that are reused.
 *
 * A backend server, or a middlebox in front of it, may drop idle connections
 * without notice and earlier than it states. The next request on such a
 * connection is reset, and whether it ran is unknown. After one such reset, only
 * connections with at most half that idle time are reused, until the limit expires.
 */

import type { Clock } from "../time/mod.ts";

/** Ratio of the limit to the idle time after which a connection was dropped. */
const LIMIT_RATIO = 0.5;

/** Lowest limit, in milliseconds; a reset after a shorter idle time has another cause. */
const MIN_LIMIT_MS = 20;

/** Time for which the limit applies after a drop, in milliseconds; longer than most faults last. */
const LIMIT_LIFETIME_MS = 10_000;

/** Lowers the limit after connections were dropped while idle. */
export class AdaptiveIdleLimit {
  readonly #clock: Clock;
  #limitMs = Number.POSITIVE_INFINITY;
  #expiresAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Longest idle time of a connection that may be reused, in milliseconds; Infinity if there is no limit. */
  get limitMs(): number {
    return this.#clock.monotonicMs() < this.#expiresAtMs
      ? this.#limitMs
      : Number.POSITIVE_INFINITY;
  }

  /** Records that a connection was reset before any part of a response, after it was idle for `idleMs` milliseconds. */
  recordDrop(idleMs: number): void {
    if (idleMs < MIN_LIMIT_MS) {
      return;
    }
    const limitMs = Math.max(MIN_LIMIT_MS, idleMs * LIMIT_RATIO);
    this.#limitMs = Math.min(this.limitMs, limitMs);
    this.#expiresAtMs = this.#clock.monotonicMs() + LIMIT_LIFETIME_MS;
  }
}
