/**
 * How much of the demand for one kind of request an entry lets through.
 *
 * Answers the pattern of a service deep in the path that fails or sheds a part
 * of its calls: a request which needs several of them is lost with any one, so
 * that running all of them serves nobody. The throttle admits a little more
 * than what was served lately, whatever the cause, and so finds both the limit
 * and the recovery without a word from the service (adaptive throttling). What
 * is in progress counts as the requests that ended lately did, so that slow
 * answers are not taken for lost ones.
 */

import type { Clock } from "../time/mod.ts";

/** Time in which earlier requests lose most of their weight, in milliseconds. */
const MEMORY_MS = 1_500;

/** Time in which the ends of requests lose most of their weight for whether they are served now, in milliseconds. */
const HEALTH_MEMORY_MS = 500;

/** Requests below which nothing is concluded. */
const MIN_REQUESTS = 6;

/** Least share that is admitted, so that a recovery is noticed. */
const MIN_ADMIT_RATIO = 0.05;

/** Share of the admitted requests that are served from which the throttle opens. */
const HEALTHY_RATIO = 0.9;

/** Headroom while it opens; from the least share all is admitted again within about three seconds. */
const OPENING_HEADROOM = 3;

/** Requests and served ones of one kind, weighted by age. */
export class AcceptanceThrottle {
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

  /** A request has come, whether it is admitted or not. */
  noteRequest(): void {
    this.#age();
    this.#requests += 1;
  }

  /** The request is admitted. */
  noteStart(): void {
    this.#inProgress += 1;
  }

  /** An admitted request tells nothing after all. */
  forgetRequest(): void {
    this.#age();
    this.#inProgress -= 1;
    this.#requests = Math.max(0, this.#requests - 1);
  }

  /** An admitted request has ended. */
  noteEnd(isServed: boolean): void {
    this.#age();
    this.#inProgress -= 1;
    this.#served += Number(isServed);
    this.#recentlyEnded += 1;
    this.#recentlyServed += Number(isServed);
  }

  /**
   * Share of the requests to admit.
   *
   * @param headroom - How many times the served requests may be let through; above 1
   */
  computeAdmitRatio(headroom: number): number {
    this.#age();
    if (this.#requests < MIN_REQUESTS) {
      return 1;
    }
    const health = (this.#recentlyServed + 1) / (this.#recentlyEnded + 1);
    const factor = health >= HEALTHY_RATIO
      ? Math.max(OPENING_HEADROOM, headroom)
      : headroom;
    const expected = this.#served + this.#inProgress * health + 1;
    const ratio = factor * expected / this.#requests;
    return Math.min(1, Math.max(MIN_ADMIT_RATIO, ratio));
  }

  #age(): void {
    const nowMs = this.#clock.monotonicMs();
    const ageMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    const weight = Math.exp(-ageMs / MEMORY_MS);
    this.#requests *= weight;
    this.#served *= weight;
    const healthWeight = Math.exp(-ageMs / HEALTH_MEMORY_MS);
    this.#recentlyEnded *= healthWeight;
    this.#recentlyServed *= healthWeight;
  }
}
