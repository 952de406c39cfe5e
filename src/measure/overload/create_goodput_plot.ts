/**
 * Plots the goodput over time, with and without protection.
 */

import type { Plot, PlotPoint } from "../experiment.ts";
import type { OverloadRun } from "./run_overload.ts";

const MS_PER_SECOND = 1_000;

/**
 * Creates a plot of the rate of requests that were answered completely and in
 * time.
 *
 * @param title - Scenario and trigger, for the title
 * @param runs - Runs with protection on and off
 * @returns A plot with one line for each run
 *
 * @example
 * const plot = createGoodputPlot("rondevaart, surge", { on, off });
 */
export function createGoodputPlot(
  title: string,
  runs: { readonly on: OverloadRun; readonly off: OverloadRun },
): Plot {
  return {
    title: `Goodput: ${title}`,
    xTitle: "seconds",
    yTitle: "requests answered in time per second",
    points: [
      ...listPoints(runs.on, "protected"),
      ...listPoints(runs.off, "unprotected"),
    ],
  };
}

function listPoints({ report }: OverloadRun, line: string): PlotPoint[] {
  const { bucketMs } = report;
  return report.buckets.map(({ startMs, byClass }) => {
    const answered = Object.values(byClass)
      .reduce((sum, { outcomes }) => sum + outcomes.answered, 0);
    const y = answered * MS_PER_SECOND / bucketMs;
    return { line, x: startMs / MS_PER_SECOND, y };
  });
}
