/**
 * Detection, false evictions and cost of the membership at several fleet
 * sizes, with slopes against the size.
 */

import { fitLine } from "../capacity/fit_line.ts";
import type { Line } from "../capacity/fit_line.ts";
import type { Experiment, ExperimentResult } from "../experiment.ts";
import { measureLightFleet } from "../membership/measure_light_fleet.ts";
import type {
  LightSample,
  LightSize,
} from "../membership/measure_light_fleet.ts";
import { measureProcesses } from "../membership/measure_processes.ts";
import { measureRecordBytes } from "../membership/measure_record_bytes.ts";

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
const GROWING_DOMAINS = 4;
const SMALL_DOMAIN = 16;
const MS_PER_SECOND = 1_000;
const DETECT_PERCENTILE = 0.99;

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
  const largest = samples.reduce((one, other) =>
    one.daemons >= other.daemons ? one : other
  );
  const worst = (read: (sample: LightSample) => number) =>
    Math.max(...samples.map(read));
  return {
    rows: samples.map(describeSample),
    fields: {
      detectP99Ms: worst(({ detectMs }) => percentile(detectMs)),
      falseEvictions: samples.reduce(
        (sum, { falseEvictions }) => sum + falseEvictions,
        0,
      ),
      controlBytesPerSecond: worst(({ worstBytesPerSecond }) =>
        Math.round(worstBytesPerSecond)
      ),
      targetBytesPerSecond: 4_096,
      controlCoreRatio: Math.max(
        ...processes.map(({ coreRatio }) => coreRatio),
      ),
      targetCoreRatio: 0.037,
      controlMb: Math.max(...processes.map(({ controlMb }) => controlMb)),
      residentMb: Math.max(...processes.map(({ residentMb }) => residentMb)),
      targetMb: 64,
      storeReadsPerSecond: largest.steadyReadsPerSecond,
      storeWritesPerSecond: largest.steadyWritesPerSecond,
      slopes: fitSlopes(samples),
      recordBytes: fitLine(
        recordSamples.map(({ records, heapBytes }) => ({
          x: records,
          y: heapBytes,
        })),
      ),
      processes,
      recordSamples,
      samples: samples.map((sample) => ({
        ...sample,
        detectMs: undefined,
        detectP99Ms: percentile(sample.detectMs),
      })),
    },
  };
}

function fitSlopes(samples: readonly LightSample[]): Record<string, Line> {
  const grown = samples.filter(({ domains }) => domains === GROWING_DOMAINS);
  const spread = samples.filter(({ membersPerDomain }) =>
    membersPerDomain === SMALL_DOMAIN
  );
  const byMembers = (read: (sample: LightSample) => number) =>
    fitLine(
      grown.map((sample) => ({ x: sample.membersPerDomain, y: read(sample) })),
    );
  const byDomains = (read: (sample: LightSample) => number) =>
    fitLine(spread.map((sample) => ({ x: sample.domains, y: read(sample) })));
  return {
    memberBytesByMembers: byMembers((sample) => sample.memberBytesPerSecond),
    delegateBytesByMembers: byMembers((sample) =>
      sample.delegateBytesPerSecond
    ),
    cpuMsByMembers: byMembers((sample) => sample.cpuMsPerSecond),
    detectByMembers: byMembers((sample) => percentile(sample.detectMs)),
    changeBytesByMembers: byMembers((sample) => sample.memberBytesPerChange),
    memberBytesByDomains: byDomains((sample) => sample.memberBytesPerSecond),
    delegateBytesByDomains: byDomains((sample) =>
      sample.delegateBytesPerSecond
    ),
    delegateChangeBytesByDomains: byDomains((sample) =>
      sample.delegateBytesPerChange
    ),
    cpuMsByDomains: byDomains((sample) => sample.cpuMsPerSecond),
    storeReadsByDomains: byDomains((sample) => sample.steadyReadsPerSecond),
  };
}

function describeSample(sample: LightSample) {
  return {
    domains: sample.domains,
    perDomain: sample.membersPerDomain,
    detectP99Ms: percentile(sample.detectMs),
    falseEvictions: sample.falseEvictions,
    memberBytes: Math.round(sample.memberBytesPerSecond),
    delegateBytes: Math.round(sample.delegateBytesPerSecond),
    bytesPerChange: Math.round(sample.memberBytesPerChange),
    coreRatio: Number((sample.cpuMsPerSecond / MS_PER_SECOND).toFixed(5)),
    records: Math.round(sample.memberRecords),
    storeReads: Number(sample.steadyReadsPerSecond.toFixed(3)),
  };
}

function percentile(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  const index = Math.ceil(sorted.length * DETECT_PERCENTILE) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
