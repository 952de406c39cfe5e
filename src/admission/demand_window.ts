/**
 * Demand for a service as it would be if entries refused nothing.
 *
 * Each call tells the share of requests that its entry admitted. A call that
 * came through at a share of 1/4 stands for four requests.
 */

import type { AdmissionMark } from "../generated/types.ts";

/** Arrivals looked back at, as long as they are recent. */
const WINDOW_ARRIVALS = 64;

/** Oldest arrival looked back at, in milliseconds. */
const WINDOW_MS = 3_000;

/** Shortest time that a rate is computed over, in milliseconds. */
const MIN_SPAN_MS = 50;

const MS_PER_SECOND = 1_000;

/** Demand of one class. */
export interface ClassDemand {
  /** Requests per second at all entries. */
  readonly wholePerSecond: number;
  /** What of it would arrive if only the other services of the path refused. */
  readonly arrivingPerSecond: number;
}

interface Arrival {
  readonly atMs: number;
  readonly classRank: number;
  readonly whole: number;
  readonly arriving: number;
}

/** Estimates demand by class from recent arrivals. */
export class DemandWindow {
  #arrivals: Arrival[] = [];

  /** A call for the service has arrived. */
  record(
    arrival: {
      readonly atMs: number;
      readonly classRank: number;
      readonly service: string;
      readonly mark: AdmissionMark | undefined;
    },
  ): void {
    const { atMs, classRank, service, mark } = arrival;
    const whole = 1 / (mark?.ratio ?? 1);
    const isLimitedHere = mark?.service === service;
    const arriving = isLimitedHere ? mark.otherRatio / mark.ratio : 1;
    this.#arrivals.push({ atMs, classRank, whole, arriving });
    if (this.#arrivals.length > WINDOW_ARRIVALS) {
      this.#arrivals.shift();
    }
  }

  /** Demand of each class, the most important first. */
  estimate(nowMs: number, classCount: number): ClassDemand[] {
    this.#arrivals = this.#arrivals.filter(({ atMs }) =>
      nowMs - atMs < WINDOW_MS
    );
    const isFull = this.#arrivals.length === WINDOW_ARRIVALS;
    const spanMs = isFull
      ? Math.max(MIN_SPAN_MS, nowMs - (this.#arrivals[0]?.atMs ?? nowMs))
      : WINDOW_MS;
    return Array.from({ length: classCount }, (_, rank) => {
      const ofClass = this.#arrivals.filter(({ classRank }) =>
        Math.min(classRank, classCount - 1) === rank
      );
      const sum = (read: (arrival: Arrival) => number) =>
        ofClass.reduce((total, arrival) => total + read(arrival), 0) *
        MS_PER_SECOND / spanMs;
      return {
        wholePerSecond: sum(({ whole }) => whole),
        arrivingPerSecond: sum(({ arriving }) => arriving),
      };
    });
  }
}
