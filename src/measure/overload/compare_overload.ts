/**
 * Overloads the fleets of both users, each with and without protection, and
 * compares the results.
 */

import { claimNetwork } from "../../testing/claim_network.ts";
import type { ExperimentResult, Plot, TableRow } from "../experiment.ts";
import { createGoodputPlot } from "./create_goodput_plot.ts";
import type { OverloadScenario } from "./create_overload_scenario.ts";
import { createRondevaartScenario } from "./create_rondevaart_scenario.ts";
import { runOverload } from "./run_overload.ts";
import type { OverloadRun, Trigger } from "./run_overload.ts";
import { summarizeOverload } from "./summarize_overload.ts";
import type { OverloadMetrics } from "./summarize_overload.ts";
import { createVerrouScenario } from "./create_verrou_scenario.ts";

const RANDOM_SEED = 4_711;
const DIGITS = 3;

/** Targets that the metrics are compared with. */
const TARGETS = {
  targetGoodputRatio: 0.95,
  targetImportantRatio: 0.995,
  targetRecoveryMs: 1_000,
  targetWastedWorkRatio: 0.03,
} as const;

/**
 * Overloads the fleet of each scenario with protection on and off.
 *
 * @param trigger - Cause of the overload
 * @returns A row for each run. The fields combine the scenarios conservatively: the
 *   worse value with protection, and the better value of the baseline without it;
 *   some fields cover a single scenario
 *
 * @example
 * const result = await compareOverload(TRIGGERS.surge);
 */
export async function compareOverload(
  trigger: Trigger,
): Promise<ExperimentResult> {
  const rows: TableRow[] = [];
  const comparisons: ProtectionComparison[] = [];
  const plots: Plot[] = [];
  for (const scenario of [createRondevaartScenario(), createVerrouScenario()]) {
    const runOptions = { trigger, randomSeed: RANDOM_SEED };
    const runs = {
      on: await runOverload(scenario, {
        ...runOptions,
        protection: "on",
        network: await claimNetwork(),
      }),
      off: await runOverload(scenario, {
        ...runOptions,
        protection: "off",
        network: await claimNetwork(),
      }),
    };
    const comparison = {
      withProtection: summarizeOverload(scenario, runs.on),
      baseline: summarizeOverload(scenario, runs.off),
    };
    comparisons.push(comparison);
    rows.push(createRow(scenario, "on", comparison.withProtection));
    rows.push(createRow(scenario, "off", comparison.baseline));
    plots.push(createGoodputPlot(`${scenario.name}, ${trigger}`, runs));
    printTimeline(`${scenario.name}, protection on`, runs.on);
    printTimeline(`${scenario.name}, protection off`, runs.off);
  }
  return { rows, plots, fields: { ...aggregate(comparisons), ...TARGETS } };
}

interface ProtectionComparison {
  readonly withProtection: OverloadMetrics;
  readonly baseline: OverloadMetrics;
}

function createRow(
  scenario: OverloadScenario,
  protection: string,
  metrics: OverloadMetrics,
): TableRow {
  const rounded = Object.fromEntries(
    Object.entries(metrics).map(([name, value]) => [name, round(value)]),
  );
  return { scenario: scenario.name, protection, ...rounded };
}

function aggregate(
  comparisons: readonly ProtectionComparison[],
): Record<string, unknown> {
  const [rondevaart, verrou] = comparisons;
  const lowest = (read: (comparison: ProtectionComparison) => number) =>
    round(Math.min(...comparisons.map(read)));
  const highest = (read: (comparison: ProtectionComparison) => number) =>
    round(Math.max(...comparisons.map(read)));
  return {
    goodputRatio: lowest(({ withProtection }) => withProtection.goodputRatio),
    importantRatio: lowest(({ withProtection }) =>
      withProtection.importantRatio
    ),
    baselineGoodputRatio: highest(({ baseline }) => baseline.goodputRatio),
    recoveryMs: highest(({ withProtection }) => withProtection.recoveryMs),
    baselineRecoveryMs: lowest(({ baseline }) => baseline.recoveryMs),
    wastedWorkRatio: highest(({ withProtection }) =>
      withProtection.wastedWorkRatio
    ),
    rondevaartWeightedGoodputRatio: round(
      rondevaart?.withProtection.weightedGoodputRatio ?? 0,
    ),
    rondevaartBaselineWeightedGoodputRatio: round(
      rondevaart?.baseline.weightedGoodputRatio ?? 0,
    ),
    verrouImportantRecoveryMs: verrou?.withProtection.importantRecoveryMs,
    verrouBaselineImportantRecoveryMs: verrou?.baseline.importantRecoveryMs,
  };
}

/** Prints the answered and offered requests of each second. */
function printTimeline(title: string, { report }: OverloadRun): void {
  const seconds = new Map<number, [number, number]>();
  for (const { startMs, byClass } of report.buckets) {
    const second = Math.floor(startMs / 1_000);
    const [offered, answered] = seconds.get(second) ?? [0, 0];
    const counts = Object.values(byClass);
    seconds.set(second, [
      counts.reduce((sum, each) => sum + each.offered, offered),
      counts.reduce((sum, each) => sum + each.outcomes.answered, answered),
    ]);
  }
  const line = [...seconds.values()].map(([offered, answered]) =>
    `${answered}/${offered}`
  );
  console.log(`${title}, answered/offered per second: ${line.join(" ")}`);
}

function round(value: number): number {
  return Number(value.toFixed(DIGITS));
}
