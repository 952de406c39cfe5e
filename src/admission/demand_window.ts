/**
 * Estimates the offered load of a service: the demand as if entries refused
 * nothing.
 *
 * Each call carries the admit ratio of its entry, so a call admitted at a ratio
 * of 1/4 counts as four requests.
 */

import type { AdmissionMark } from "../generated/types.ts";

/** Number of most recent arrivals in the window; more while these span less than {@link MIN_SPAN_MS}. */
const WINDOW_ARRIVALS = 64;

/** Maximum age of an arrival in the window, in milliseconds. */
const WINDOW_MS = 3_000;

/** Shortest span for computing a rate, in milliseconds. */
const MIN_SPAN_MS = 300;

const MS_PER_SECOND = 1_000;

/** Demand of one class. */
export interface ClassDemand {
  /** Offered requests per second at all entries. */
  readonly offeredPerSecond: number;
  /** Requests per second that would arrive if only the other services of the path caused refusals. */
  readonly arrivingPerSecond: number;
  /** Share of the offered requests that entries admitted, of those that arrived lately; 1 if none arrived. */
  readonly admittedRatio: number;
}

interface Arrival {
  readonly atMs: number;
  readonly classRank: number;
  readonly offeredCalls: number;
  readonly arrivingCalls: number;
}

/** Estimates demand by class from recent arrivals. */
export class DemandWindow {
  #arrivals: Arrival[] = [];

  /** Records the arrival of a call. */
  record(
    arrival: {
      readonly atMs: number;
      readonly classRank: number;
      readonly service: string;
      readonly mark: AdmissionMark | undefined;
    },
  ): void {
    const { atMs, classRank, service, mark } = arrival;
    const offeredCalls = 1 / (mark?.ratio ?? 1);
    const isLimitedHere = mark?.service === service;
    const arrivingCalls = isLimitedHere ? mark.otherRatio / mark.ratio : 1;
    this.#arrivals.push({ atMs, classRank, offeredCalls, arrivingCalls });
    while (
      this.#arrivals.length > WINDOW_ARRIVALS &&
      atMs - (this.#arrivals[0]?.atMs ?? atMs) > MIN_SPAN_MS
    ) {
      this.#arrivals.shift();
    }
  }

  /** Estimates the demand of each class, the most important first. */
  estimate(nowMs: number, classCount: number): ClassDemand[] {
    this.#arrivals = this.#arrivals.filter(({ atMs }) =>
      nowMs - atMs < WINDOW_MS
    );
    const isFull = this.#arrivals.length >= WINDOW_ARRIVALS;
    const spanMs = isFull
      ? Math.max(MIN_SPAN_MS, nowMs - (this.#arrivals[0]?.atMs ?? nowMs))
      : WINDOW_MS;
    const sums = Array.from(
      { length: classCount },
      () => ({ offered: 0, arriving: 0, admitted: 0 }),
    );
    for (const { classRank, offeredCalls, arrivingCalls } of this.#arrivals) {
      const sum = sums[Math.min(classRank, classCount - 1)];
      if (sum) {
        sum.offered += offeredCalls;
        sum.arriving += arrivingCalls;
        sum.admitted += 1;
      }
    }
    return sums.map(({ offered, arriving, admitted }) => ({
      offeredPerSecond: offered * MS_PER_SECOND / spanMs,
      arrivingPerSecond: arriving * MS_PER_SECOND / spanMs,
      admittedRatio: offered === 0 ? 1 : admitted / offered,
    }));
  }
}
