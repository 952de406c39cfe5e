/**
 * An overload of both users' fleets, protected and unprotected in one run.
 */

import { claimNetwork } from "../../testing/claim_network.ts";
import type { ExperimentResult, Plot, TableRow } from "../experiment.ts";
import { createGoodputPlot } from "./create_goodput_plot.ts";
import type { OverloadShape } from "./overload_shape.ts";
import { createRondevaartShape } from "./rondevaart_shape.ts";
import { runOverload } from "./run_overload.ts";
import type { OverloadRun, Trigger } from "./run_overload.ts";
import { summarizeOverload } from "./summarize_overload.ts";
import type { OverloadFigures } from "./summarize_overload.ts";
import { createVerrouShape } from "./verrou_shape.ts";

const RANDOM_SEED = 4_711;
const DIGITS = 3;

/** What an overloaded fleet is judged by. */
const TARGETS = {
  targetGoodputRatio: 0.95,
  targetImportantRatio: 0.995,
  targetRecoveryMs: 1_000,
  targetWastedWorkRatio: 0.03,
} as const;

/**
 * Overloads both shapes with protection on and off.
 *
 * @param trigger - What causes the overload
 * @returns A row for each fleet; the fields hold the worse of the two shapes
 *
 * @example
 * const result = await compareOverload(TRIGGERS.surge);
 */
export async function compareOverload(
  trigger: Trigger,
): Promise<ExperimentResult> {
  const rows: TableRow[] = [];
  const pairs: FigurePair[] = [];
  const plots: Plot[] = [];
  for (const shape of [createRondevaartShape(), createVerrouShape()]) {
    const runOptions = { trigger, randomSeed: RANDOM_SEED };
    const runs = {
      on: await runOverload(shape, {
        ...runOptions,
        protection: "on",
        network: await claimNetwork(),
      }),
      off: await runOverload(shape, {
        ...runOptions,
        protection: "off",
        network: await claimNetwork(),
      }),
    };
    const pair = {
      guarded: summarizeOverload(shape, runs.on),
      baseline: summarizeOverload(shape, runs.off),
    };
    pairs.push(pair);
    rows.push(createRow(shape, "on", pair.guarded));
    rows.push(createRow(shape, "off", pair.baseline));
    plots.push(createGoodputPlot(`${shape.name}, ${trigger}`, runs));
    printTimeline(`${shape.name}, protection on`, runs.on);
    printTimeline(`${shape.name}, protection off`, runs.off);
  }
  return { rows, plots, fields: { ...combine(pairs), ...TARGETS } };
}

interface FigurePair {
  readonly guarded: OverloadFigures;
  readonly baseline: OverloadFigures;
}

function createRow(
  shape: OverloadShape,
  protection: string,
  figures: OverloadFigures,
): TableRow {
  const rounded = Object.fromEntries(
    Object.entries(figures).map(([name, value]) => [name, round(value)]),
  );
  return { shape: shape.name, protection, ...rounded };
}

function combine(pairs: readonly FigurePair[]): Record<string, unknown> {
  const [rondevaart, verrou] = pairs;
  const lowest = (read: (pair: FigurePair) => number) =>
    round(Math.min(...pairs.map(read)));
  const highest = (read: (pair: FigurePair) => number) =>
    round(Math.max(...pairs.map(read)));
  return {
    goodputRatio: lowest(({ guarded }) => guarded.goodputRatio),
    importantRatio: lowest(({ guarded }) => guarded.importantRatio),
    baselineGoodputRatio: highest(({ baseline }) => baseline.goodputRatio),
    recoveryMs: highest(({ guarded }) => guarded.recoveryMs),
    baselineRecoveryMs: lowest(({ baseline }) => baseline.recoveryMs),
    wastedWorkRatio: highest(({ guarded }) => guarded.wastedWorkRatio),
    rondevaartWeightedGoodputRatio: round(
      rondevaart?.guarded.weightedGoodputRatio ?? 0,
    ),
    rondevaartBaselineWeightedGoodputRatio: round(
      rondevaart?.baseline.weightedGoodputRatio ?? 0,
    ),
    verrouImportantRecoveryMs: verrou?.guarded.importantRecoveryMs,
    verrouBaselineImportantRecoveryMs: verrou?.baseline.importantRecoveryMs,
  };
}

/** Prints requests answered of those offered, for each second. */
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
  console.log(`${title}, answered/offered each second: ${line.join(" ")}`);
}

function round(value: number): number {
  return Number(value.toFixed(DIGITS));
}
