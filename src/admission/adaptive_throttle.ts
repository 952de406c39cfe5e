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
  /** In-progress requests and served ones, each with the weight of its arrival. */
  #inProgressWeight = 0;
  #servedWeight = 0;
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
    this.#decay();
    this.#inProgress += 1;
    this.#inProgressWeight += 1;
  }

  /** Discards an admitted request whose outcome says nothing about capacity. */
  discardRequest(): void {
    this.#decay();
    this.#takeInProgress();
    this.#requests = Math.max(0, this.#requests - 1);
  }

  /** Records the end of an admitted request. */
  recordEnd(isServed: boolean): void {
    this.#decay();
    this.#servedWeight += this.#takeInProgress() * Number(isServed);
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
    return this.#computeRatio(
      this.#served + this.#inProgress * this.#successRatio,
      headroom,
    );
  }

  /**
   * Computes the admit ratio with requests counted at the time of their arrival.
   * None counts both while it is in progress and when it ends, so the headroom
   * does not grow with the time that requests take.
   *
   * @param headroom - Multiple of the served requests that may be admitted; above 1
   * @returns The admit ratio, from {@link MIN_ADMIT_RATIO} to 1
   */
  computeArrivalAdmitRatio(headroom: number): number {
    this.#decay();
    return this.#computeRatio(this.#servedByArrival, headroom);
  }

  /** Estimates the share of the arriving requests that is served. */
  estimateServedRatio(): number {
    this.#decay();
    return this.#requests < MIN_REQUESTS
      ? 1
      : Math.min(1, this.#servedByArrival / this.#requests);
  }

  /** Whether enough requests were admitted lately and nearly all of them served. */
  get isHealthy(): boolean {
    return this.#requests >= MIN_REQUESTS &&
      this.#successRatio >= HEALTHY_SUCCESS_RATIO;
  }

  get #successRatio(): number {
    return (this.#recentlyServed + 1) / (this.#recentlyEnded + 1);
  }

  get #servedByArrival(): number {
    return this.#servedWeight + this.#inProgressWeight * this.#successRatio;
  }

  #computeRatio(expected: number, headroom: number): number {
    if (this.#requests < MIN_REQUESTS) {
      return 1;
    }
    const factor = this.#successRatio >= HEALTHY_SUCCESS_RATIO
      ? Math.max(RECOVERY_HEADROOM, headroom)
      : headroom;
    const ratio = factor * (expected + 1) / this.#requests;
    return Math.min(1, Math.max(MIN_ADMIT_RATIO, ratio));
  }

  /** Takes the mean weight of the requests in progress out of their sum. */
  #takeInProgress(): number {
    if (this.#inProgress === 0) {
      return 0;
    }
    const weight = this.#inProgressWeight / this.#inProgress;
    this.#inProgressWeight -= weight;
    this.#inProgress -= 1;
    return weight;
  }

  #decay(): void {
    const nowMs = this.#clock.monotonicMs();
    const ageMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    const weight = Math.exp(-ageMs / TIME_CONSTANT_MS);
    this.#requests *= weight;
    this.#served *= weight;
    this.#servedWeight *= weight;
    this.#inProgressWeight *= weight;
    const successRatioWeight = Math.exp(
      -ageMs / SUCCESS_RATIO_TIME_CONSTANT_MS,
    );
    this.#recentlyEnded *= successRatioWeight;
    this.#recentlyServed *= successRatioWeight;
  }
}
