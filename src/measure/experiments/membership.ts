/**
 * Detection, false evictions and cost of the membership at several fleet
 * sizes, with slopes against the size.
 */

import type { Experiment, ExperimentResult } from "../experiment.ts";
import { measureLightFleet } from "../membership/measure_light_fleet.ts";
import type {
  LightSample,
  LightSize,
} from "../membership/measure_light_fleet.ts";
import { measureProcesses } from "../membership/measure_processes.ts";
import { measureRecordBytes } from "../membership/measure_record_bytes.ts";
import { summarizeMembership } from "../membership/summarize_membership.ts";

/** Sizes that differ in the members of a failure domain, then in the number of failure domains. */
const SIZES: readonly LightSize[] = [
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
  description: "detection, false evictions and cost of the membership",
  run,
};

async function run(): Promise<ExperimentResult> {
  const recordSamples = measureRecordBytes(RECORD_COUNTS);
  const samples: LightSample[] = [];
  for (const size of SIZES) {
    samples.push(await measureLightFleet(size));
  }
  const processes = [];
  for (const count of PROCESS_COUNTS) {
    processes.push(await measureProcesses(count));
  }
  return summarizeMembership({ samples, processes, recordSamples });
}
