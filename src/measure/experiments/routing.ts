/**
 * Measures how adaptive load balancing avoids impaired instances, with one impairment
 * at a time. The baseline is random load balancing with all other protection enabled.
 */

import type { Experiment, ExperimentResult } from "../experiment.ts";
import { runRoutingPhases } from "../routing/run_routing_phases.ts";
import type { RoutingPhaseResult } from "../routing/run_routing_phases.ts";

/** The experiment. */
export const experiment: Experiment = {
  description:
    "routing around slow, misreporting, cold, unresponsive and crashed instances",
  run,
};

async function run(): Promise<ExperimentResult> {
  const adaptive = await runRoutingPhases({ routing: "adaptive", network: 55 });
  const random = await runRoutingPhases({ routing: "random", network: 56 });
  const phases = Object.fromEntries(adaptive.map((row, index) => {
    const other = random[index];
    return [row.phase, {
      ...pickMetrics(row),
      ...other ? { random: pickMetrics(other) } : {},
    }];
  }));
  const summarizeWorst = (rows: readonly RoutingPhaseResult[]) => ({
    goodputRatio: Math.min(...rows.map(({ goodputRatio }) => goodputRatio)),
    p99Ms: Math.max(...rows.map(({ p99Ms }) => p99Ms)),
    crossRegionBytesPerSecond: Math.max(
      ...rows.map((row) => row.crossRegionBytesPerSecond),
    ),
    misroutedRatio: Math.max(
      ...rows.map(({ misroutedRatio }) => misroutedRatio),
    ),
  });
  return {
    rows: [...adaptive, ...random],
    fields: {
      ...summarizeWorst(adaptive),
      worstRandom: summarizeWorst(random),
      phases,
    },
  };
}

function pickMetrics(row: RoutingPhaseResult) {
  const { goodputRatio, p99Ms, crossRegionBytesPerSecond, misroutedRatio } =
    row;
  return { goodputRatio, p99Ms, crossRegionBytesPerSecond, misroutedRatio };
}
