/**
 * Sums over periods of a run.
 */

import type { LoadReport } from "./load_report.ts";

/** Part of a run and the classes to look at. */
export interface CountOptions {
  /** Begin and end of the part after the begin of the run, in milliseconds. */
  readonly fromMs: number;
  readonly untilMs: number;
  /** Classes that are counted; all when left out. */
  readonly classNames?: readonly string[];
}

/** Sums of one part of a run. */
export interface RequestCounts {
  /** Requests that began in the part. */
  readonly offered: number;
  /** Those of them that were answered whole in time. */
  readonly answered: number;
  readonly attempts: number;
  /** Requests answered within the part, whenever they began. */
  readonly completed: number;
}

/**
 * Sums what began in a part of a run.
 *
 * @param report - The run
 * @param options - Part and classes
 * @returns The sums
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
