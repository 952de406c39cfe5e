/**
 * Adaptive throttling: computes the admit ratio of one kind of request at an
 * entry.
 *
 * When a service deep in the path fails or sheds part of its calls, a request
 * that needs several of them fails with any one, and admitting everything serves
 * nobody. The throttle admits slightly more than was recently served, whatever
 * the cause of the failures, so it finds both the limit and the recovery without
 * feedback from the service. Requests in progress are counted at the recent
 * success ratio, so that slow responses are not mistaken for failures.
 */

import type { Clock } from "../time/mod.ts";

/** Time constant of the exponential decay of the request counts, in milliseconds. */
const TIME_CONSTANT_MS = 1_500;

/** Time constant of the exponential decay of the success ratio, in milliseconds. */
const SUCCESS_RATIO_TIME_CONSTANT_MS = 500;

/** Minimum weighted request count for throttling; with fewer, everything is admitted. */
const MIN_REQUESTS = 6;

/** Lower bound of the admit ratio, so that a recovery is noticed. */
const MIN_ADMIT_RATIO = 0.05;

/** Success ratio of admitted requests from which the recovery headroom applies. */
const HEALTHY_SUCCESS_RATIO = 0.9;

/** Headroom during recovery; from the lowest ratio, everything is admitted again within about three seconds. */
const RECOVERY_HEADROOM = 3;

/** Counts the requests of one kind and the served ones, with exponential decay. */
export class AdaptiveThrottle {
  readonly #clock: Clock;
  #requests = 0;
  #served = 0;
  #recentlyEnded = 0;
  #recentlyServed = 0;
  #inProgress = 0;
  #updatedAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAtMs = clock.monotonicMs();
  }

  /** Records an arriving request, whether it is admitted or not. */
  recordRequest(): void {
    this.#decay();
    this.#requests += 1;
  }

  /** Records that a request was admitted. */
  recordStart(): void {
    this.#inProgress += 1;
  }

  /** Discards an admitted request whose outcome says nothing about capacity. */
  discardRequest(): void {
    this.#decay();
    this.#inProgress -= 1;
    this.#requests = Math.max(0, this.#requests - 1);
  }

  /** Records the end of an admitted request. */
  recordEnd(isServed: boolean): void {
    this.#decay();
    this.#inProgress -= 1;
    this.#served += Number(isServed);
    this.#recentlyEnded += 1;
    this.#recentlyServed += Number(isServed);
  }

  /**
   * Computes the admit ratio.
   *
   * @param headroom - Multiple of the served requests that may be admitted; above 1
   * @returns The admit ratio, from {@link MIN_ADMIT_RATIO} to 1
   */
  computeAdmitRatio(headroom: number): number {
    this.#decay();
    if (this.#requests < MIN_REQUESTS) {
      return 1;
    }
    const successRatio = (this.#recentlyServed + 1) / (this.#recentlyEnded + 1);
    const factor = successRatio >= HEALTHY_SUCCESS_RATIO
      ? Math.max(RECOVERY_HEADROOM, headroom)
      : headroom;
    const expected = this.#served + this.#inProgress * successRatio + 1;
    const ratio = factor * expected / this.#requests;
    return Math.min(1, Math.max(MIN_ADMIT_RATIO, ratio));
  }

  #decay(): void {
    const nowMs = this.#clock.monotonicMs();
    const ageMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    const weight = Math.exp(-ageMs / TIME_CONSTANT_MS);
    this.#requests *= weight;
    this.#served *= weight;
    const successRatioWeight = Math.exp(
      -ageMs / SUCCESS_RATIO_TIME_CONSTANT_MS,
    );
    this.#recentlyEnded *= successRatioWeight;
    this.#recentlyServed *= successRatioWeight;
  }
}
