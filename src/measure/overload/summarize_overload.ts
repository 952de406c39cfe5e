/**
 * Computes the metrics of an overload run from the point of view of both users.
 */

import { computeRecoveryMs, countRequests } from "../load/mod.ts";
import type { OverloadScenario } from "./create_overload_scenario.ts";
import { reachesDeepestService } from "./run_overload.ts";
import type { OverloadRun } from "./run_overload.ts";

/** Metrics of one overload run; requests are counted over the trigger phase. */
export interface OverloadMetrics {
  /** Requests answered in time that pass through the deepest service / its capacity. */
  readonly goodputRatio: number;
  /** Important requests answered in time / offered. */
  readonly importantRatio: number;
  /** Requests answered in time that do not pass through the deepest service / offered. */
  readonly unaffectedRatio: number;
  /** Goodput with a higher weight on important requests / the same at full capacity. */
  readonly weightedGoodputRatio: number;
  /** Recovery time of all requests, in milliseconds. */
  readonly recoveryMs: number;
  /** Recovery time of the important requests alone, in milliseconds. */
  readonly importantRecoveryMs: number;
  /** 99th percentile latency of answered requests of the slowest important class over the whole run. */
  readonly importantP99Ms: number;
  /** See {@link OverloadRun.wastedWorkRatio}. */
  readonly wastedWorkRatio: number;
  /** Attempts of callers / requests. */
  readonly attemptsPerRequest: number;
}

const RECOVERED_RATIO = 0.95;
const IMPORTANT_WEIGHT = 10;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const PERCENTILE = 99;

/**
 * Computes the metrics of an overload run.
 *
 * @param scenario - Scenario of the run
 * @param run - Result of the run
 * @returns The metrics
 *
 * @example
 * const { goodputRatio } = summarizeOverload(scenario, run);
 */
export function summarizeOverload(
  scenario: OverloadScenario,
  run: OverloadRun,
): OverloadMetrics {
  const { report, triggerStartMs, triggerEndMs, endMs } = run;
  const triggerInterval = { fromMs: triggerStartMs, untilMs: triggerEndMs };
  const classesThroughDeepest = listClasses(scenario, true);
  const all = countRequests(report, triggerInterval);
  const throughDeepest = countRequests(report, {
    ...triggerInterval,
    classNames: classesThroughDeepest,
  });
  const important = countRequests(report, {
    ...triggerInterval,
    classNames: scenario.importantClasses,
  });
  const unaffected = countRequests(report, {
    ...triggerInterval,
    classNames: listClasses(scenario, false),
  });
  const capacity = run.capacityPerSecond *
    (triggerEndMs - triggerStartMs) / MS_PER_SECOND;
  const recovery = {
    triggerEndMs,
    untilMs: endMs,
    answeredRatio: RECOVERED_RATIO,
  };
  const extraWeight = IMPORTANT_WEIGHT - 1;
  return {
    goodputRatio: throughDeepest.completed / capacity,
    importantRatio: important.answered / important.offered,
    unaffectedRatio: unaffected.answered / unaffected.offered,
    weightedGoodputRatio:
      (throughDeepest.completed + extraWeight * important.answered) /
      (capacity + extraWeight * important.offered),
    recoveryMs: computeRecoveryMs(report, recovery),
    importantRecoveryMs: computeRecoveryMs(report, {
      ...recovery,
      classNames: scenario.importantClasses,
    }),
    importantP99Ms: readImportantP99Ms(scenario, run),
    wastedWorkRatio: run.wastedWorkRatio,
    attemptsPerRequest: all.attempts / all.offered,
  };
}

function listClasses(
  scenario: OverloadScenario,
  isThroughDeepest: boolean,
): string[] {
  return scenario.kinds
    .filter(({ pathPrefix }) =>
      reachesDeepestService(scenario, pathPrefix) === isThroughDeepest
    )
    .map(({ className }) => className);
}

function readImportantP99Ms(
  scenario: OverloadScenario,
  { report }: OverloadRun,
): number {
  const latencies = scenario.importantClasses.map((name) =>
    report.latencyByClass[name]?.getValueAtPercentile(PERCENTILE) ?? 0
  );
  return Math.max(...latencies) / MICROSECONDS_PER_MS;
}
