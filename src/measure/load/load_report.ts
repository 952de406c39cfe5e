/**
 * What a run of load found.
 */

import type { Histogram } from "hdr-histogram-js";

/** How a request ended for its caller. */
export const FINAL_OUTCOMES = {
  /** Answered whole before the caller's deadline. */
  answered: "answered",
  /** Answered with an error status, or too late. */
  failed: "failed",
  refused: "refused",
  unknown: "unknown",
  lost: "lost",
} as const;

/** One of {@link FINAL_OUTCOMES}. */
export type FinalOutcome = (typeof FINAL_OUTCOMES)[keyof typeof FINAL_OUTCOMES];

/** Counts of the requests of one class that began in one period. */
export interface ClassCounts {
  offered: number;
  attempts: number;
  readonly outcomes: Record<FinalOutcome, number>;
  /** Requests that were not answered, by the reason of their last attempt. */
  readonly reasons: Record<string, number>;
  /** Requests answered in this period, whenever they began. */
  completed: number;
}

/** Counts of one period. */
export interface LoadBucket {
  /** Begin of the period after the begin of the run, in milliseconds. */
  readonly startMs: number;
  readonly byClass: Readonly<Record<string, ClassCounts>>;
}

/** What a run of load found. */
export interface LoadReport {
  readonly bucketMs: number;
  readonly buckets: readonly LoadBucket[];
  /** Begin of each phase after the begin of the run, in milliseconds. */
  readonly phaseStartsMs: Readonly<Record<string, number>>;
  /** Time to a whole answer by class, in microseconds. */
  readonly latencyByClass: Readonly<Record<string, Histogram>>;
  /** Ids of the requests answered whole in time. */
  readonly answeredIds: ReadonlySet<string>;
}
