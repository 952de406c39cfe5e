/**
 * Aggregates the buckets of a load report.
 */

import type { LoadReport } from "./load_report.ts";

/** Interval and classes to aggregate. */
export interface CountOptions {
  /** Start (inclusive) and end (exclusive) in milliseconds since the start of the run. */
  readonly fromMs: number;
  readonly untilMs: number;
  /** Classes to count; all by default. */
  readonly classNames?: readonly string[];
}

/** Request counts of an interval. */
export interface RequestCounts {
  /** Requests that started in the interval. */
  readonly offered: number;
  /** Requests among the offered ones that were answered completely and in time. */
  readonly answered: number;
  /** Attempts at the offered requests. */
  readonly attempts: number;
  /** Requests answered within the interval, whenever they started. */
  readonly completed: number;
}

/**
 * Sums the counts of all buckets that start in an interval.
 *
 * @param report - Report of the run
 * @param options - Interval and classes
 * @returns The totals
 *
 * @example
 * const surge = countRequests(report, { fromMs: 5_000, untilMs: 15_000 });
 */
export function countRequests(
  report: LoadReport,
  options: CountOptions,
): RequestCounts {
  const { fromMs, untilMs, classNames } = options;
  const counts = report.buckets
    .filter(({ startMs }) => startMs >= fromMs && startMs < untilMs)
    .flatMap(({ byClass }) => Object.entries(byClass))
    .filter(([name]) => classNames?.includes(name) ?? true)
    .map(([, each]) => each);
  const sum = (read: (each: typeof counts[number]) => number) =>
    counts.reduce((total, each) => total + read(each), 0);
  return {
    offered: sum(({ offered }) => offered),
    answered: sum(({ outcomes }) => outcomes.answered),
    attempts: sum(({ attempts }) => attempts),
    completed: sum(({ completed }) => completed),
  };
}
