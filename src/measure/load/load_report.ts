/**
 * Types of the results of a load run.
 */

import type { Histogram } from "hdr-histogram-js";

/** Outcomes of a request from its caller's point of view, after all attempts. */
export const FINAL_OUTCOMES = {
  /** Answered completely and without an error before the caller's deadline. */
  answered: "answered",
  /** Answered with an error status or after the deadline. */
  failed: "failed",
  refused: "refused",
  unknown: "unknown",
  lost: "lost",
} as const;

/** One of {@link FINAL_OUTCOMES}. */
export type FinalOutcome = (typeof FINAL_OUTCOMES)[keyof typeof FINAL_OUTCOMES];

/** Counts of one class in one bucket; requests count in the bucket in which they started. */
export interface ClassCounts {
  offered: number;
  attempts: number;
  readonly outcomes: Record<FinalOutcome, number>;
  /** Requests without a usable response, by the reason of their last attempt. */
  readonly reasons: Record<string, number>;
  /** Requests answered in this bucket, whenever they started. */
  completed: number;
}

/** Counts of one time bucket. */
export interface LoadBucket {
  /** Start of the bucket, in milliseconds since the start of the run. */
  readonly startMs: number;
  readonly byClass: Readonly<Record<string, ClassCounts>>;
}

/** Report of a load run. */
export interface LoadReport {
  readonly bucketMs: number;
  readonly buckets: readonly LoadBucket[];
  /** Start of each phase by name, in milliseconds since the start of the run. */
  readonly phaseStartsMs: Readonly<Record<string, number>>;
  /** Latencies of the answered requests by class, retries included, in microseconds. */
  readonly latencyByClass: Readonly<Record<string, Histogram>>;
  /** Ids of the requests that were answered completely and in time. */
  readonly answeredIds: ReadonlySet<string>;
}
