/**
 * Figures of an overload, from both users' views.
 */

import { computeRecoveryMs, countRequests } from "../load/mod.ts";
import type { OverloadScenario } from "./create_overload_scenario.ts";
import { reachesDeepestService } from "./run_overload.ts";
import type { OverloadRun } from "./run_overload.ts";

/** Figures of one overload. */
export interface OverloadMetrics {
  /** Answered whole in time through the deepest service / its capacity. */
  readonly goodputRatio: number;
  /** Important requests answered in time / offered. */
  readonly importantRatio: number;
  /** Requests answered in time that do not pass the deepest service / offered. */
  readonly unaffectedRatio: number;
  /** Goodput with important requests weighted / the same at capacity. */
  readonly weightedGoodputRatio: number;
  readonly recoveryMs: number;
  /** Recovery time of important requests alone. */
  readonly importantRecoveryMs: number;
  /** Time to an answer that 99 in 100 important requests meet. */
  readonly importantP99Ms: number;
  readonly wastedWorkRatio: number;
  /** Attempts of callers / requests while the trigger lasts. */
  readonly attemptsPerRequest: number;
}

const RECOVERED_RATIO = 0.95;
const IMPORTANT_WEIGHT = 10;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const PERCENTILE = 99;

/**
 * Computes the figures of an overload.
 *
 * @param scenario - The user's scenario
 * @param run - What was seen
 * @returns The figures
 *
 * @example
 * const { goodputRatio } = summarizeOverload(scenario, run);
 */
export function summarizeOverload(
  scenario: OverloadScenario,
  run: OverloadRun,
): OverloadMetrics {
  const { report, triggerStartMs, triggerEndMs, endMs } = run;
  const during = { fromMs: triggerStartMs, untilMs: triggerEndMs };
  const reaching = listClasses(scenario, true);
  const all = countRequests(report, during);
  const deep = countRequests(report, { ...during, classNames: reaching });
  const important = countRequests(report, {
    ...during,
    classNames: scenario.importantClasses,
  });
  const unaffected = countRequests(report, {
    ...during,
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
    goodputRatio: deep.completed / capacity,
    importantRatio: important.answered / important.offered,
    unaffectedRatio: unaffected.answered / unaffected.offered,
    weightedGoodputRatio: (deep.completed + extraWeight * important.answered) /
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
  isReaching: boolean,
): string[] {
  return scenario.kinds
    .filter(({ pathPrefix }) =>
      reachesDeepestService(scenario, pathPrefix) === isReaching
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
