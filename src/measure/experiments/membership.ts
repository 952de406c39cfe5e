/**
 * Measures the failure detection time, the false evictions and the cost of the
 * membership protocol at several fleet sizes, and how the costs grow with the size.
 */

import type { Experiment, ExperimentResult } from "../experiment.ts";
import { measureSimulatedFleet } from "../membership/measure_simulated_fleet.ts";
import type {
  FleetSize,
  SimulatedFleetSample,
} from "../membership/measure_simulated_fleet.ts";
import { measureProcesses } from "../membership/measure_processes.ts";
import { measureRecordBytes } from "../membership/measure_record_bytes.ts";
import { summarizeMembership } from "../membership/summarize_membership.ts";

/** Fleet sizes; first the members per failure domain vary, then the failure domains. */
const SIZES: readonly FleetSize[] = [
  { domains: 4, membersPerDomain: 16 },
  { domains: 4, membersPerDomain: 32 },
  { domains: 4, membersPerDomain: 64 },
  { domains: 4, membersPerDomain: 80 },
  { domains: 8, membersPerDomain: 16 },
  { domains: 16, membersPerDomain: 16 },
];

const PROCESS_COUNTS = [8, 16, 32] as const;
const RECORD_COUNTS = [1_000, 2_000, 4_000, 6_800] as const;

/** The experiment. */
export const experiment: Experiment = {
  description:
    "failure detection, false evictions and cost of the membership protocol",
  run,
};

async function run(): Promise<ExperimentResult> {
  const recordSamples = measureRecordBytes(RECORD_COUNTS);
  const samples: SimulatedFleetSample[] = [];
  for (const size of SIZES) {
    samples.push(await measureSimulatedFleet(size));
  }
  const processes = [];
  for (const count of PROCESS_COUNTS) {
    processes.push(await measureProcesses(count));
  }
  return summarizeMembership({ samples, processes, recordSamples });
}
