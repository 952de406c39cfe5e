/**
 * Summarizes the samples of the `membership` experiment as metrics and fitted lines.
 */

import { fitLine } from "../capacity/fit_line.ts";
import type { Line } from "../capacity/fit_line.ts";
import type { ExperimentResult } from "../experiment.ts";
import type { SimulatedFleetSample } from "./measure_simulated_fleet.ts";
import type { ProcessSample } from "./measure_processes.ts";
import type { RecordSample } from "./measure_record_bytes.ts";

/** Failure domains of the samples that vary the members per failure domain. */
const FIXED_DOMAIN_COUNT = 4;

/** Members per failure domain of the samples that vary the failure domains. */
const FIXED_DOMAIN_SIZE = 16;

const MS_PER_SECOND = 1_000;
const DETECTION_QUANTILE = 0.99;

/** Samples of all parts of the experiment. */
export interface MembershipSamples {
  readonly samples: readonly SimulatedFleetSample[];
  readonly processes: readonly ProcessSample[];
  readonly recordSamples: readonly RecordSample[];
}

/**
 * Computes the metrics with their targets, and how the costs grow with the fleet.
 *
 * @param measured - Samples of simulated fleets, daemon processes and member records
 * @returns Result table and metrics
 *
 * @example
 * return summarizeMembership({ samples, processes, recordSamples });
 */
export function summarizeMembership(
  { samples, processes, recordSamples }: MembershipSamples,
): ExperimentResult {
  const largest = samples.reduce((left, right) =>
    left.daemons >= right.daemons ? left : right
  );
  const findMax = (read: (sample: SimulatedFleetSample) => number) =>
    Math.max(...samples.map(read));
  return {
    rows: samples.map(createRow),
    fields: {
      detectP99Ms: findMax(({ detectMs }) => findP99(detectMs)),
      falseEvictions: samples.reduce(
        (sum, { falseEvictions }) => sum + falseEvictions,
        0,
      ),
      controlBytesPerSecond: findMax(({ worstBytesPerSecond }) =>
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
        detectP99Ms: findP99(sample.detectMs),
      })),
    },
  };
}

function fitSlopes(
  samples: readonly SimulatedFleetSample[],
): Record<string, Line> {
  const memberSeries = samples.filter(({ domains }) =>
    domains === FIXED_DOMAIN_COUNT
  );
  const domainSeries = samples.filter(({ membersPerDomain }) =>
    membersPerDomain === FIXED_DOMAIN_SIZE
  );
  const byMembers = (read: (sample: SimulatedFleetSample) => number) =>
    fitLine(
      memberSeries.map((sample) => ({
        x: sample.membersPerDomain,
        y: read(sample),
      })),
    );
  const byDomains = (read: (sample: SimulatedFleetSample) => number) =>
    fitLine(
      domainSeries.map((sample) => ({ x: sample.domains, y: read(sample) })),
    );
  return {
    memberBytesByMembers: byMembers((sample) => sample.memberBytesPerSecond),
    delegateBytesByMembers: byMembers((sample) =>
      sample.delegateBytesPerSecond
    ),
    cpuMsByMembers: byMembers((sample) => sample.cpuMsPerSecond),
    detectByMembers: byMembers((sample) => findP99(sample.detectMs)),
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

function createRow(sample: SimulatedFleetSample) {
  return {
    domains: sample.domains,
    membersPerDomain: sample.membersPerDomain,
    detectP99Ms: findP99(sample.detectMs),
    falseEvictions: sample.falseEvictions,
    memberBytesPerSecond: Math.round(sample.memberBytesPerSecond),
    delegateBytesPerSecond: Math.round(sample.delegateBytesPerSecond),
    bytesPerChange: Math.round(sample.memberBytesPerChange),
    coreRatio: Number((sample.cpuMsPerSecond / MS_PER_SECOND).toFixed(5)),
    records: Math.round(sample.memberRecords),
    storeReadsPerSecond: Number(sample.steadyReadsPerSecond.toFixed(3)),
  };
}

function findP99(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil(sorted.length * DETECTION_QUANTILE) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
