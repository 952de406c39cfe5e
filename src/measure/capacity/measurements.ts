/**
 * Format of the committed measurements from which the capacity page is computed.
 */

import type { Line } from "./fit_line.ts";
import type { CallCostSample } from "./measure_call_costs.ts";

/** Fitted lines of the `membership` experiment that the capacity page uses. */
export const MEMBERSHIP_LINE_NAMES = [
  "memberBytesByMembers",
  "delegateBytesByMembers",
  "memberBytesByDomains",
  "delegateBytesByDomains",
  "changeBytesByMembers",
  "delegateChangeBytesByDomains",
  "cpuMsByMembers",
  "cpuMsByDomains",
  "detectByMembers",
] as const;

/** Name of a fitted line, one of {@link MEMBERSHIP_LINE_NAMES}. */
export type MembershipLineName = (typeof MEMBERSHIP_LINE_NAMES)[number];

/** Metrics of the `membership` experiment that the capacity page uses. */
export interface MembershipMeasurements {
  readonly detectP99Ms: number;
  readonly falseEvictions: number;
  readonly slopes: Readonly<Record<MembershipLineName, Line>>;
  readonly recordBytes: Line;
  readonly processes: readonly {
    readonly daemons: number;
    readonly residentMb: number;
    readonly bareNodeMb: number;
    readonly controlMb: number;
    readonly coreRatio: number;
  }[];
  readonly samples: readonly {
    readonly daemons: number;
    readonly startReadsPerDaemon: number;
    readonly startWritesPerDaemon: number;
    readonly steadyReadsPerSecond: number;
  }[];
}

/** Committed measurements. */
export interface Measurements {
  readonly measuredOn: string;
  readonly membership: MembershipMeasurements;
  readonly entryCpuMsPerCall: Line;
  readonly backendCpuMsPerCall: Line;
  readonly callSamples: readonly CallCostSample[];
  readonly keyBytes: Line;
}
