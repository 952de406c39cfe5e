/**
 * Measurement of how long calls were held up between two daemons, as when one of
 * them stood still or their connection delivered late.
 *
 * Their clocks are not compared. The sender states with each call the time since
 * it received the receiver's hello, and the receiver knows the time since it sent
 * the hello. The difference is the transit time of both messages; what exceeds
 * the shortest recent one is the time for which a call was held up.
 */

import type { Clock } from "../time/mod.ts";

/** Header field in which a sender states the time since the hello, in milliseconds. A peer of an older build accepts it, unlike a new field of a message. */
export const SENT_AFTER_NOTE = "celeryhollow-sent-after-ms";

/** Time after which the shortest transit time is measured anew, since the clocks of two VMs drift apart, in milliseconds. */
const WINDOW_MS = 60_000;

/** Measures the delays of the calls on one accepted connection. */
export class TransitTimer {
  readonly #clock: Clock;
  readonly #helloAtMs: number;
  #windowStartedAtMs: number;
  #shortestMs = Number.POSITIVE_INFINITY;
  #previousShortestMs = Number.POSITIVE_INFINITY;

  /** Starts the measurement; to be created when the hello is sent. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#helloAtMs = clock.monotonicMs();
    this.#windowStartedAtMs = this.#helloAtMs;
  }

  /** Returns the time for which a call that arrives now was held up, in milliseconds. The first call has nothing to be compared with, so its whole transit counts. */
  measureDelayMs(sentAfterMs: number): number {
    const nowMs = this.#clock.monotonicMs();
    const transitMs = nowMs - this.#helloAtMs - sentAfterMs;
    if (nowMs - this.#windowStartedAtMs > WINDOW_MS) {
      this.#windowStartedAtMs = nowMs;
      this.#previousShortestMs = this.#shortestMs;
      this.#shortestMs = Number.POSITIVE_INFINITY;
    }
    const usualMs = Math.min(this.#shortestMs, this.#previousShortestMs);
    this.#shortestMs = Math.min(this.#shortestMs, transitMs);
    return Math.max(0, transitMs - (Number.isFinite(usualMs) ? usualMs : 0));
  }
}
