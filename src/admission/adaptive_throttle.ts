/**
 * Adaptive throttling: computes the admit ratio of one kind of request at an
 * entry.
 *
 * When a service deep in the path fails or sheds part of its calls, a request
 * that needs several of them fails with any one, and admitting everything serves
 * nobody. The throttle admits slightly more than was recently served, whatever
 * the cause of the failures, so it finds both the limit and the recovery without
 * feedback from the service. Requests in progress are counted at the recent
 * success ratio, so that slow responses are not mistaken for failures, and all
 * requests are weighed by the time of their arrival, so that none counts twice.
 *
 * An entry with little traffic has too few requests to tell a limit from chance,
 * so the counts of other entries are added to its own.
 */

import type { Clock } from "../time/mod.ts";
import {
  addCounts,
  computeRequestWeight,
  decayCounts,
  NO_COUNTS,
} from "./request_counts.ts";
import type { RequestCounts } from "./request_counts.ts";

/** Minimum weighted request count for throttling; with fewer, everything is admitted. */
const MIN_REQUESTS = 6;

/** Lower bound of the admit ratio, so that a recovery is noticed. */
const MIN_ADMIT_RATIO = 0.05;

/** Success ratio of admitted requests above which the headroom grows. */
const HEALTHY_SUCCESS_RATIO = 0.95;

/** Headroom while all admitted requests are served; from the lowest ratio, everything is admitted again within about three seconds. */
const RECOVERY_HEADROOM = 10;

/** Exponent of the growth between the two, so that a few served requests do not pass for a recovery. */
const RECOVERY_EXPONENT = 3;

/** Counts the requests of one kind and the served ones, with exponential decay. */
export class AdaptiveThrottle {
  readonly #clock: Clock;
  #counts: RequestCounts = NO_COUNTS;
  #updatedAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAtMs = clock.monotonicMs();
  }

  /** The current counts of this entry. */
  get counts(): RequestCounts {
    this.#add({});
    return this.#counts;
  }

  /** Records an arriving request, whether it is admitted or not. */
  recordRequest(): void {
    this.#add({ requests: 1 });
  }

  /** Records that a request was admitted. */
  recordStart(): void {
    this.#add({ inProgress: 1 });
  }

  /** Discards an admitted request, started `durationMs` milliseconds ago, whose outcome says nothing about capacity. */
  discardRequest(durationMs = 0): void {
    const weight = computeRequestWeight(durationMs);
    this.#add({ inProgress: -weight, requests: -weight });
  }

  /** Records the end of an admitted request that started `durationMs` milliseconds ago. */
  recordEnd(isServed: boolean, durationMs = 0): void {
    const weight = computeRequestWeight(durationMs);
    this.#add({
      inProgress: -weight,
      served: weight * Number(isServed),
      recentlyEnded: 1,
      recentlyServed: Number(isServed),
    });
  }

  /**
   * Computes the admit ratio.
   *
   * @param headroom - Multiple of the served requests that may be admitted; above 1
   * @param others - Current counts of other entries, if they are known
   * @returns The admit ratio, from {@link MIN_ADMIT_RATIO} to 1
   */
  computeAdmitRatio(headroom: number, others = NO_COUNTS): number {
    const { requests, served, inProgress, recentlyEnded, recentlyServed } =
      addCounts(this.counts, others);
    if (requests < MIN_REQUESTS) {
      return 1;
    }
    const successRatio = (recentlyServed + 1) / (recentlyEnded + 1);
    const health = (successRatio - HEALTHY_SUCCESS_RATIO) /
      (1 - HEALTHY_SUCCESS_RATIO);
    const growth = Math.max(0, health) ** RECOVERY_EXPONENT;
    const expected = served + inProgress * successRatio + 1;
    const factor = headroom +
      Math.max(0, RECOVERY_HEADROOM - headroom) * growth;
    const ratio = factor * expected / requests;
    return Math.min(1, Math.max(MIN_ADMIT_RATIO, ratio));
  }

  #add(changes: Partial<RequestCounts>): void {
    const nowMs = this.#clock.monotonicMs();
    const decayed = decayCounts(this.#counts, nowMs - this.#updatedAtMs);
    this.#updatedAtMs = nowMs;
    this.#counts = addCounts(decayed, { ...NO_COUNTS, ...changes });
  }
}
