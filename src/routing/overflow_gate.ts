/**
 * Decides when calls to one service may leave the failure domain call by call.
 *
 * Shares follow a demand within about two seconds. Until then, a call that would
 * queue in its own domain may use an idle slot of another one.
 */

import type { Clock } from "../time/mod.ts";

/** Weight of the latest call in the moving average of the calls that found their domain full. */
const LATEST_WEIGHT = 0.2;

/** Average from which the domain counts as full, and below which it has room again. */
const FULL_RATIO = 0.5;
const ROOMY_RATIO = 0.2;

/** Time for which calls leave call by call after the domain became full, in milliseconds; shares have followed by then. */
const WINDOW_MS = 2_000;

/** Time without calls after which the state of the domain is unknown, in milliseconds. */
const FORGET_MS = 500;

/** State for the calls of this daemon to one service. */
export class OverflowGate {
  readonly #clock: Clock;
  #fullRatio = 0;
  #fullSinceMs: number | undefined;
  #observedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records whether a call would queue in its domain, and decides whether it may
   * leave for that.
   *
   * @param isFull - Whether the best instance of the domain is full
   * @returns Whether the call may leave
   */
  check(isFull: boolean): boolean {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#observedAtMs > FORGET_MS) {
      this.#fullRatio = 0;
      this.#fullSinceMs = undefined;
    }
    this.#observedAtMs = nowMs;
    this.#fullRatio += LATEST_WEIGHT * (Number(isFull) - this.#fullRatio);
    if (this.#fullRatio >= FULL_RATIO) {
      this.#fullSinceMs ??= nowMs;
    } else if (this.#fullRatio < ROOMY_RATIO) {
      this.#fullSinceMs = undefined;
    }
    return isFull && nowMs - (this.#fullSinceMs ?? nowMs) < WINDOW_MS;
  }
}
