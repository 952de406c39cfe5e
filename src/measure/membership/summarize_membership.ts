/**
 * The figures and slopes of the membership experiment.
 */

import { fitLine } from "../capacity/fit_line.ts";
import type { Line } from "../capacity/fit_line.ts";
import type { ExperimentResult } from "../experiment.ts";
import type { LightSample } from "./measure_light_fleet.ts";
import type { ProcessSample } from "./measure_processes.ts";
import type { RecordSample } from "./measure_record_bytes.ts";

const GROWING_DOMAINS = 4;
const SMALL_DOMAIN = 16;
const MS_PER_SECOND = 1_000;
const DETECT_PERCENTILE = 0.99;

/** What was measured. */
export interface MembershipSamples {
  readonly samples: readonly LightSample[];
  readonly processes: readonly ProcessSample[];
  readonly recordSamples: readonly RecordSample[];
}

/**
 * Summarizes what was measured against the targets, with slopes.
 *
 * @param measured - Samples of light fleets, processes and records
 * @returns Rows for people and fields
 *
 * @example
 * return summarizeMembership({ samples, processes, recordSamples });
 */
export function summarizeMembership(
  { samples, processes, recordSamples }: MembershipSamples,
): ExperimentResult {
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
