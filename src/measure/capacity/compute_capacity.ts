/**
 * Extrapolation of measured slopes to the target size, role by role.
 */

import type { Line } from "./fit_line.ts";
import type { Measurements, MembershipLine } from "./measurements.ts";
import {
  ASSUMED,
  CONTROL_LIMITS,
  STORE_LIMITS,
  TARGET_SIZES,
} from "./target_sizes.ts";

/** One figure of a role at the target size. */
export interface CapacityRow {
  readonly role: string;
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  /** Undefined where no limit is stated. */
  readonly limit: number | undefined;
  /** How the figure was worked out, with slopes. */
  readonly working: string;
  /** Largest relative residual of the lines used. */
  readonly residualRatio: number;
  readonly mechanism: string;
}

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MB = 1_048_576;
const MEASURED_DOMAINS = 4;
const ENTRY_SUBSET = 8;
const NAMED_SUBSET = 32;
const KEY_LIFETIME_S = 600;
const CHECK_INTERVAL_S = 300;
const WATCHERS_PER_DOMAIN = 2;
const WATCH_TIMEOUT_S = 10;
const START_SPREAD_S = 0.3;

/**
 * Computes every figure of the capacity page.
 *
 * @param measurements - What was measured
 * @returns The figures by role
 *
 * @example
 * const rows = computeCapacity(measurements);
 */
export function computeCapacity(measurements: Measurements): CapacityRow[] {
  return [
    ...computeMembers(measurements),
    ...computeDelegates(measurements),
    ...computeCalls(measurements),
    ...computeKeyHolder(measurements),
    ...computeStore(measurements),
  ];
}

/** Members of one failure domain at the target size. */
export const MEMBERS_PER_DOMAIN = TARGET_SIZES.daemons /
  TARGET_SIZES.failureDomains;

/** Changes of member records in the whole fleet on an ordinary day, each second. */
export const CHANGES_PER_SECOND =
  (TARGET_SIZES.restartsPerDay + TARGET_SIZES.failuresPerDay) *
  ASSUMED.changesPerRestart / SECONDS_PER_DAY;

function computeMembers({ membership }: Measurements): CapacityRow[] {
  const { slopes, recordBytes, processes } = membership;
  const records = countMemberRecords();
  const idle = extend(slopes, "memberBytesByMembers", "memberBytesByDomains");
  const change = at(slopes.changeBytesByMembers, MEMBERS_PER_DOMAIN);
  const cpu = extend(slopes, "cpuMsByMembers", "cpuMsByDomains");
  const largest = processes.at(-1);
  const role = "every daemon";
  const gossip = "SWIM probes, rumors, pulls (src/membership)";
  return [
    {
      role,
      figure: "membership traffic, sent and received",
      value: idle.value + change * CHANGES_PER_SECOND,
      unit: "B/s",
      limit: CONTROL_LIMITS.bytesPerSecond,
      working: `${idle.working} at rest, and ${round(change)} B for each of ${
        round(CHANGES_PER_SECOND)
      } changes/s`,
      residualRatio: Math.max(
        idle.residualRatio,
        slopes.changeBytesByMembers.residualRatio,
      ),
      mechanism: gossip,
    },
    {
      role,
      figure: "membership processor time",
      value: cpu.value / MS_PER_SECOND,
      unit: "core",
      limit: CONTROL_LIMITS.coreRatio,
      working: `${cpu.working} in ms/s`,
      residualRatio: cpu.residualRatio,
      mechanism: gossip,
    },
    {
      role,
      figure: "member records",
      value: recordBytes.slope * records / BYTES_PER_MB,
      unit: "MB",
      limit: CONTROL_LIMITS.memoryMb,
      working: `${records} records of ${round(recordBytes.slope)} B`,
      residualRatio: recordBytes.residualRatio,
      mechanism: "partial view: own domain, and subsets of remote services",
    },
    {
      role,
      figure: "resident memory at rest, whole process",
      value: (largest?.residentMb ?? 0) +
        recordBytes.slope * records / BYTES_PER_MB,
      unit: "MB",
      limit: CONTROL_LIMITS.memoryMb,
      working: `${round(largest?.residentMb ?? 0)} MB measured with ${
        largest?.daemons ?? 0
      } daemons (bare Node ${
        round(largest?.bareNodeMb ?? 0)
      } MB), and the records`,
      residualRatio: recordBytes.residualRatio,
      mechanism: "one Node process",
    },
    {
      role,
      figure: "resident memory beyond bare Node",
      value: (largest?.controlMb ?? 0) +
        recordBytes.slope * records / BYTES_PER_MB,
      unit: "MB",
      limit: CONTROL_LIMITS.memoryMb,
      working: "the line before without bare Node",
      residualRatio: recordBytes.residualRatio,
      mechanism: "one Node process",
    },
    {
      role,
      figure: "processor time at rest, whole process",
      value: largest?.coreRatio ?? 0,
      unit: "core",
      limit: CONTROL_LIMITS.coreRatio,
      working: `measured with ${
        largest?.daemons ?? 0
      } daemons; heartbeats, announcements and housekeeping included`,
      residualRatio: 0,
      mechanism: "one Node process",
    },
  ];
}

function computeDelegates({ membership }: Measurements): CapacityRow[] {
  const { slopes, recordBytes } = membership;
  const idle = extend(
    slopes,
    "delegateBytesByMembers",
    "delegateBytesByDomains",
  );
  const change = at(
    slopes.delegateChangeBytesByDomains,
    TARGET_SIZES.failureDomains,
  );
  return [
    {
      role: "delegate",
      figure: "membership traffic, sent and received",
      value: idle.value + change * CHANGES_PER_SECOND,
      unit: "B/s",
      limit: CONTROL_LIMITS.bytesPerSecond,
      working: `${idle.working} at rest, and ${round(change)} B for each of ${
        round(CHANGES_PER_SECOND)
      } changes/s`,
      residualRatio: idle.residualRatio,
      mechanism: "three delegates of each domain share probes and pulls",
    },
    {
      role: "delegate",
      figure: "member records",
      value: recordBytes.slope * TARGET_SIZES.daemons / BYTES_PER_MB,
      unit: "MB",
      limit: CONTROL_LIMITS.memoryMb,
      working: `${TARGET_SIZES.daemons} records of ${
        round(recordBytes.slope)
      } B`,
      residualRatio: recordBytes.residualRatio,
      mechanism: "a delegate knows the fleet",
    },
  ];
}

function computeCalls(measurements: Measurements): CapacityRow[] {
  const { entryCpuMsPerCall, backendCpuMsPerCall } = measurements;
  const perDaemon = TARGET_SIZES.callsPerSecond / TARGET_SIZES.daemons;
  const describe = (role: string, line: Line, mechanism: string) => ({
    role,
    figure: "processor time of calls (data path, not control)",
    value: line.slope * perDaemon / MS_PER_SECOND,
    unit: "core",
    limit: undefined,
    working: `${round(line.slope)} ms for each of ${
      round(perDaemon)
    } calls/s, counted over all hops`,
    residualRatio: line.residualRatio,
    mechanism,
  });
  return [
    describe("entry side", entryCpuMsPerCall, "dispatch (src/request)"),
    describe("backend side", backendCpuMsPerCall, "run (src/request)"),
    {
      role: "entry and backend side",
      figure:
        `processor time if each of the calls went ${TARGET_SIZES.depth} deep`,
      value: (entryCpuMsPerCall.slope + backendCpuMsPerCall.slope) *
        perDaemon * TARGET_SIZES.depth / MS_PER_SECOND,
      unit: "core",
      limit: 1,
      working: "both lines before, times the depth; one core is one process",
      residualRatio: Math.max(
        entryCpuMsPerCall.residualRatio,
        backendCpuMsPerCall.residualRatio,
      ),
      mechanism: "one event loop",
    },
  ];
}

function computeKeyHolder({ keyBytes }: Measurements): CapacityRow[] {
  const keysPerSecond = TARGET_SIZES.callsPerSecond / TARGET_SIZES.daemons *
    ASSUMED.nonRepeatableRatio;
  const keys = keysPerSecond * KEY_LIFETIME_S;
  return [{
    role: "key holder",
    figure: "used keys",
    value: keyBytes.slope * keys / BYTES_PER_MB,
    unit: "MB",
    limit: CONTROL_LIMITS.memoryMb,
    working: `${round(keys)} keys of ${
      round(keyBytes.slope)
    } B with answers of 200 B: ${round(keysPerSecond)} keys/s kept for ${
      KEY_LIFETIME_S / 60
    } minutes`,
    residualRatio: keyBytes.residualRatio,
    mechanism: "each daemon holds the keys that it issued (src/idempotency)",
  }];
}

function computeStore({ membership }: Measurements): CapacityRow[] {
  const { failureDomains, daemons, configurationChangesPerDay } = TARGET_SIZES;
  const startReads = Math.max(
    ...membership.samples.map(({ startReadsPerDaemon }) => startReadsPerDaemon),
  );
  const watches = failureDomains * WATCHERS_PER_DOMAIN / WATCH_TIMEOUT_S;
  const changes = configurationChangesPerDay / SECONDS_PER_DAY;
  const mechanism = "seed lists written by first delegates; few watchers";
  return [
    {
      role: "store",
      figure: "reads and watches on an ordinary day",
      value: failureDomains / CHECK_INTERVAL_S + watches +
        changes * failureDomains * WATCHERS_PER_DOMAIN,
      unit: "calls/s",
      limit: STORE_LIMITS.readsPerSecond,
      working:
        `one check of a seed list in ${CHECK_INTERVAL_S} s for each domain, ` +
        `${WATCHERS_PER_DOMAIN} watchers of each domain, woken ${
          round(changes)
        } times/s; by constants, not by a slope`,
      residualRatio: 0,
      mechanism,
    },
    {
      role: "store",
      figure: "writes on an ordinary day",
      value: changes + failureDomains / CHECK_INTERVAL_S,
      unit: "calls/s",
      limit: STORE_LIMITS.writesPerSecond,
      working: "each configuration change, and each check writing at worst",
      residualRatio: 0,
      mechanism,
    },
    {
      role: "store",
      figure: "reads if every daemon started within one spread of first reads",
      value: startReads * daemons / START_SPREAD_S,
      unit: "calls/s",
      limit: STORE_LIMITS.readsPerSecond,
      working: `${round(startReads)} reads of each daemon within ${
        START_SPREAD_S * MS_PER_SECOND
      } ms`,
      residualRatio: 0,
      mechanism: "jitter, then backoff with jitter",
    },
  ];
}

/** Records of a daemon that is no delegate. */
function countMemberRecords(): number {
  const instances = TARGET_SIZES.daemons / TARGET_SIZES.services;
  const remote = instances * (1 - 1 / TARGET_SIZES.failureDomains);
  const entry = TARGET_SIZES.services * ASSUMED.entryServiceRatio *
    Math.min(ENTRY_SUBSET, remote);
  const named = ASSUMED.callsPerService * Math.min(NAMED_SUBSET, remote);
  return Math.round(MEMBERS_PER_DOMAIN + entry + named);
}

/** Extends a line over members by a line over failure domains. */
function extend(
  slopes: Readonly<Record<MembershipLine, Line>>,
  byMembers: MembershipLine,
  byDomains: MembershipLine,
) {
  const members = slopes[byMembers];
  const domains = slopes[byDomains];
  const moreDomains = TARGET_SIZES.failureDomains - MEASURED_DOMAINS;
  return {
    value: at(members, MEMBERS_PER_DOMAIN) + domains.slope * moreDomains,
    working: `${round(members.intercept)} + ${
      round(members.slope)
    } x ${MEMBERS_PER_DOMAIN} members + ${
      round(domains.slope)
    } x ${moreDomains} domains`,
    residualRatio: Math.max(members.residualRatio, domains.residualRatio),
  };
}

function at({ intercept, slope }: Line, x: number): number {
  return intercept + slope * x;
}

/** Rounds to three significant digits, for people. */
export function round(value: number): string {
  return Math.abs(value) >= 1_000
    ? String(Math.round(value))
    : String(Number(value.toPrecision(3)));
}
