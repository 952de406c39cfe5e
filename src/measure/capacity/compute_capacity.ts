/**
 * Extrapolates the committed measurements to the target size. Each role of a
 * daemon, and the object store, gets its own rows on the capacity page.
 */

import type { Line } from "./fit_line.ts";
import type { Measurements, MembershipLineName } from "./measurements.ts";
import {
  ASSUMPTIONS,
  CONTROL_LIMITS,
  STORE_LIMITS,
  TARGET_SIZES,
} from "./target_sizes.ts";

/** Row of the capacity page: one metric of a role at the target size. */
export interface CapacityRow {
  readonly role: string;
  readonly metric: string;
  readonly value: number;
  readonly unit: string;
  /** Limit in the same unit; undefined if none is specified. */
  readonly limit: number | undefined;
  /** Description of the calculation, with the slopes used. */
  readonly calculation: string;
  /** Largest relative residual of the fitted lines used. */
  readonly residualRatio: number;
  /** Mechanism behind the value, shown in the column "Mechanism". */
  readonly mechanism: string;
}

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MB = 1_048_576;

/** Failure domains of the fleets in which the members per failure domain vary. */
const MEASURED_DOMAINS = 4;

/** Remote instances that a daemon knows of a service that callers address. */
const ENTRY_SERVICE_LIMIT = 8;

/** Remote instances that a daemon knows of a service that its own service calls. */
const NAMED_SERVICE_LIMIT = 32;

const KEY_LIFETIME_S = 600;
const SEED_LIST_CHECK_INTERVAL_S = 300;
const WATCHERS_PER_DOMAIN = 2;
const WATCH_TIMEOUT_S = 10;
/** Reads of the departures of its VM by a daemon that starts. */
const DEPARTURE_READS_PER_START = 1;

/** Upper bound of the random delay before a starting daemon first reads the store. */
const MAX_FIRST_READ_DELAY_S = 0.3;

/**
 * Computes the rows of the capacity page.
 *
 * @param measurements - The committed measurements
 * @returns The rows, grouped by role
 *
 * @example
 * const rows = computeCapacity(measurements);
 */
export function computeCapacity(measurements: Measurements): CapacityRow[] {
  return [
    ...computeMemberRows(measurements),
    ...computeDelegateRows(measurements),
    ...computeCallRows(measurements),
    ...computeKeyHolderRows(measurements),
    ...computeStoreRows(measurements),
  ];
}

/** Members per failure domain at the target size. */
export const MEMBERS_PER_DOMAIN = TARGET_SIZES.daemons /
  TARGET_SIZES.failureDomains;

/** Changes of member records per second in the whole fleet, averaged over an ordinary day. */
export const RECORD_CHANGES_PER_SECOND =
  (TARGET_SIZES.restartsPerDay + TARGET_SIZES.failuresPerDay) *
  ASSUMPTIONS.changesPerRestart / SECONDS_PER_DAY;

function computeMemberRows({ membership }: Measurements): CapacityRow[] {
  const { slopes, recordBytes, processes } = membership;
  const records = countMemberRecords();
  const idle = extrapolate(
    slopes,
    "memberBytesByMembers",
    "memberBytesByDomains",
  );
  const change = evaluateLine(slopes.changeBytesByMembers, MEMBERS_PER_DOMAIN);
  const cpu = extrapolate(slopes, "cpuMsByMembers", "cpuMsByDomains");
  const largestFleet = processes.at(-1);
  const role = "every daemon";
  const gossip = "SWIM probes, rumors, pulls (src/membership)";
  return [
    {
      role,
      metric: "membership traffic, sent and received",
      value: idle.value + change * RECORD_CHANGES_PER_SECOND,
      unit: "B/s",
      limit: CONTROL_LIMITS.bytesPerSecond,
      calculation: `${idle.calculation} when idle, plus ${
        formatNumber(change)
      } B per change at ${formatNumber(RECORD_CHANGES_PER_SECOND)} changes/s`,
      residualRatio: Math.max(
        idle.residualRatio,
        slopes.changeBytesByMembers.residualRatio,
      ),
      mechanism: gossip,
    },
    {
      role,
      metric: "membership processor time",
      value: cpu.value / MS_PER_SECOND,
      unit: "core",
      limit: CONTROL_LIMITS.coreRatio,
      calculation: `${cpu.calculation} in ms/s`,
      residualRatio: cpu.residualRatio,
      mechanism: gossip,
    },
    {
      role,
      metric: "member records",
      value: recordBytes.slope * records / BYTES_PER_MB,
      unit: "MB",
      limit: CONTROL_LIMITS.memoryMb,
      calculation: `${records} records of ${formatNumber(recordBytes.slope)} B`,
      residualRatio: recordBytes.residualRatio,
      mechanism:
        "partial view: own failure domain, and subsets of the instances of remote services",
    },
    {
      role,
      metric: "resident memory of the whole idle process",
      value: (largestFleet?.residentMb ?? 0) +
        recordBytes.slope * records / BYTES_PER_MB,
      unit: "MB",
      limit: CONTROL_LIMITS.memoryMb,
      calculation: `${
        formatNumber(largestFleet?.residentMb ?? 0)
      } MB measured with ${largestFleet?.daemons ?? 0} daemons (bare Node.js ${
        formatNumber(largestFleet?.bareNodeMb ?? 0)
      } MB), plus the records`,
      residualRatio: recordBytes.residualRatio,
      mechanism: "one Node.js process",
    },
    {
      role,
      metric: "resident memory in excess of bare Node.js",
      value: (largestFleet?.controlMb ?? 0) +
        recordBytes.slope * records / BYTES_PER_MB,
      unit: "MB",
      limit: CONTROL_LIMITS.memoryMb,
      calculation: "the row above without bare Node.js",
      residualRatio: recordBytes.residualRatio,
      mechanism: "one Node.js process",
    },
    {
      role,
      metric: "processor time of the whole idle process",
      value: largestFleet?.coreRatio ?? 0,
      unit: "core",
      limit: CONTROL_LIMITS.coreRatio,
      calculation: `measured with ${
        largestFleet?.daemons ?? 0
      } daemons; heartbeats, announcements and housekeeping included`,
      residualRatio: 0,
      mechanism: "one Node.js process",
    },
  ];
}

function computeDelegateRows({ membership }: Measurements): CapacityRow[] {
  const { slopes, recordBytes } = membership;
  const idle = extrapolate(
    slopes,
    "delegateBytesByMembers",
    "delegateBytesByDomains",
  );
  const change = evaluateLine(
    slopes.delegateChangeBytesByDomains,
    TARGET_SIZES.failureDomains,
  );
  return [
    {
      role: "delegate",
      metric: "membership traffic, sent and received",
      value: idle.value + change * RECORD_CHANGES_PER_SECOND,
      unit: "B/s",
      limit: CONTROL_LIMITS.bytesPerSecond,
      calculation: `${idle.calculation} when idle, plus ${
        formatNumber(change)
      } B per change at ${formatNumber(RECORD_CHANGES_PER_SECOND)} changes/s`,
      residualRatio: idle.residualRatio,
      mechanism:
        "the three delegates of each failure domain share probes and pulls",
    },
    {
      role: "delegate",
      metric: "member records",
      value: recordBytes.slope * TARGET_SIZES.daemons / BYTES_PER_MB,
      unit: "MB",
      limit: CONTROL_LIMITS.memoryMb,
      calculation: `${TARGET_SIZES.daemons} records of ${
        formatNumber(recordBytes.slope)
      } B`,
      residualRatio: recordBytes.residualRatio,
      mechanism: "a delegate keeps the records of the whole fleet",
    },
  ];
}

function computeCallRows(measurements: Measurements): CapacityRow[] {
  const { entryCpuMsPerCall, backendCpuMsPerCall } = measurements;
  const perDaemon = TARGET_SIZES.callsPerSecond / TARGET_SIZES.daemons;
  const createRow = (role: string, line: Line, mechanism: string) => ({
    role,
    metric: "processor time of calls (data path, not control plane)",
    value: line.slope * perDaemon / MS_PER_SECOND,
    unit: "core",
    limit: undefined,
    calculation: `${formatNumber(line.slope)} ms per call at ${
      formatNumber(perDaemon)
    } calls/s per daemon, counted over all hops`,
    residualRatio: line.residualRatio,
    mechanism,
  });
  return [
    createRow("entry daemon", entryCpuMsPerCall, "dispatch (src/request)"),
    createRow("backend daemon", backendCpuMsPerCall, "run (src/request)"),
    {
      role: "entry and backend daemon",
      metric: `processor time if every call went ${TARGET_SIZES.depth} deep`,
      value: (entryCpuMsPerCall.slope + backendCpuMsPerCall.slope) *
        perDaemon * TARGET_SIZES.depth / MS_PER_SECOND,
      unit: "core",
      limit: 1,
      calculation:
        "sum of the two rows above, times the depth; one core is one process",
      residualRatio: Math.max(
        entryCpuMsPerCall.residualRatio,
        backendCpuMsPerCall.residualRatio,
      ),
      mechanism: "one event loop",
    },
  ];
}

function computeKeyHolderRows({ keyBytes }: Measurements): CapacityRow[] {
  const keysPerSecond = TARGET_SIZES.callsPerSecond / TARGET_SIZES.daemons *
    ASSUMPTIONS.nonRepeatableRatio;
  const keys = keysPerSecond * KEY_LIFETIME_S;
  return [{
    role: "key holder",
    metric: "used idempotency keys",
    value: keyBytes.slope * keys / BYTES_PER_MB,
    unit: "MB",
    limit: CONTROL_LIMITS.memoryMb,
    calculation: `${formatNumber(keys)} keys of ${
      formatNumber(keyBytes.slope)
    } B with responses of 200 B: ${
      formatNumber(keysPerSecond)
    } keys/s kept for ${KEY_LIFETIME_S / 60} minutes`,
    residualRatio: keyBytes.residualRatio,
    mechanism: "each daemon holds the keys that it issued (src/idempotency)",
  }];
}

function computeStoreRows({ membership }: Measurements): CapacityRow[] {
  const { failureDomains, daemons, configurationChangesPerDay } = TARGET_SIZES;
  const startReads = DEPARTURE_READS_PER_START + Math.max(
    ...membership.samples.map(({ startReadsPerDaemon }) => startReadsPerDaemon),
  );
  const departures = TARGET_SIZES.restartsPerDay / SECONDS_PER_DAY;
  const watches = failureDomains * WATCHERS_PER_DOMAIN / WATCH_TIMEOUT_S;
  const changes = configurationChangesPerDay / SECONDS_PER_DAY;
  const mechanism =
    "seed lists written by the first delegate of each failure domain; few watchers";
  return [
    {
      role: "store",
      metric: "reads and watches on an ordinary day",
      value: failureDomains / SEED_LIST_CHECK_INTERVAL_S + watches +
        changes * failureDomains * WATCHERS_PER_DOMAIN,
      unit: "calls/s",
      limit: STORE_LIMITS.readsPerSecond,
      calculation:
        `one seed list check per ${SEED_LIST_CHECK_INTERVAL_S} s and failure domain, ` +
        `${WATCHERS_PER_DOMAIN} watchers per failure domain, woken ${
          formatNumber(changes)
        } times/s; computed from constants, not from fitted lines`,
      residualRatio: 0,
      mechanism,
    },
    {
      role: "store",
      metric: "writes on an ordinary day",
      value: changes + departures +
        failureDomains / SEED_LIST_CHECK_INTERVAL_S,
      unit: "calls/s",
      limit: STORE_LIMITS.writesPerSecond,
      calculation:
        "one per configuration change and departure of a server, and at worst one per seed list check",
      residualRatio: 0,
      mechanism,
    },
    {
      role: "store",
      metric:
        "reads if all daemons started within the maximum delay of the first read",
      value: startReads * daemons / MAX_FIRST_READ_DELAY_S,
      unit: "calls/s",
      limit: STORE_LIMITS.readsPerSecond,
      calculation: `${formatNumber(startReads)} reads per daemon within ${
        MAX_FIRST_READ_DELAY_S * MS_PER_SECOND
      } ms`,
      residualRatio: 0,
      mechanism: "random delay of the first read, then backoff with jitter",
    },
  ];
}

/** Estimates the number of member records that a daemon other than a delegate keeps. */
function countMemberRecords(): number {
  const instances = TARGET_SIZES.daemons / TARGET_SIZES.services;
  const remoteInstances = instances * (1 - 1 / TARGET_SIZES.failureDomains);
  const entryRecords = TARGET_SIZES.services * ASSUMPTIONS.entryServiceRatio *
    Math.min(ENTRY_SERVICE_LIMIT, remoteInstances);
  const calledRecords = ASSUMPTIONS.callsPerService *
    Math.min(NAMED_SERVICE_LIMIT, remoteInstances);
  return Math.round(MEMBERS_PER_DOMAIN + entryRecords + calledRecords);
}

/** Extrapolates along the line over members per domain, then adds the slope over failure domains. */
function extrapolate(
  slopes: Readonly<Record<MembershipLineName, Line>>,
  byMembers: MembershipLineName,
  byDomains: MembershipLineName,
) {
  const members = slopes[byMembers];
  const domains = slopes[byDomains];
  const additionalDomains = TARGET_SIZES.failureDomains - MEASURED_DOMAINS;
  return {
    value: evaluateLine(members, MEMBERS_PER_DOMAIN) +
      domains.slope * additionalDomains,
    calculation: `${formatNumber(members.intercept)} + ${
      formatNumber(members.slope)
    } x ${MEMBERS_PER_DOMAIN} members + ${
      formatNumber(domains.slope)
    } x ${additionalDomains} additional failure domains`,
    residualRatio: Math.max(members.residualRatio, domains.residualRatio),
  };
}

function evaluateLine({ intercept, slope }: Line, x: number): number {
  return intercept + slope * x;
}

/** Formats with three significant digits; values from 1000 are rounded to integers. */
export function formatNumber(value: number): string {
  return Math.abs(value) >= 1_000
    ? String(Math.round(value))
    : String(Number(value.toPrecision(3)));
}
