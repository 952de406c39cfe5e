/**
 * Measures the traffic, processor time and failure detection time of the membership
 * protocol. Runs the membership of many daemons in one process on a simulated
 * network.
 */

import process from "node:process";
import { createSimulatedFleetPlan } from "../../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../../testing/simulated_fleet.ts";
import type { SimulatedMember } from "../../testing/simulated_fleet.ts";

/** Size of a simulated fleet. */
export interface FleetSize {
  readonly domains: number;
  readonly membersPerDomain: number;
}

/** Measurements of a simulated fleet. */
export interface SimulatedFleetSample extends FleetSize {
  readonly daemons: number;
  /** Average bytes sent and received by a daemon that is not a delegate, while nothing changes. */
  readonly memberBytesPerSecond: number;
  readonly delegateBytesPerSecond: number;
  /** Bytes of the daemon with the most traffic. */
  readonly worstBytesPerSecond: number;
  /** Bytes sent and received by one daemon per change of any member record in the fleet. */
  readonly memberBytesPerChange: number;
  readonly delegateBytesPerChange: number;
  /** Average processor time of a daemon while nothing changes. */
  readonly cpuMsPerSecond: number;
  readonly memberRecords: number;
  readonly delegateRecords: number;
  /** Times from a crash until an observer marks the member as dead, over all crashes and observers that know it. */
  readonly detectMs: readonly number[];
  readonly falseEvictions: number;
  readonly startReadsPerDaemon: number;
  readonly startWritesPerDaemon: number;
  readonly steadyReadsPerSecond: number;
  readonly steadyWritesPerSecond: number;
}

const INSTANCES_PER_SERVICE = 8;
const LOSS_RATIO = 0.01;
const CROSS_REGION_DELAY_MS = 30;
const SAME_REGION_DELAY_MS = 0.5;
const SETTLE_MS = 300_000;
const IDLE_MS = 60_000;
const CHANGE_COUNT = 30;
const CHANGE_INTERVAL_MS = 1_000;
const CRASH_COUNT = 4;
const DETECTION_WINDOW_MS = 15_000;
const POLL_INTERVAL_MS = 100;
const PAUSE_MS = 2_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/**
 * Measures a fleet while idle, under changes of member records, with a paused
 * member and with crashes.
 *
 * @param size - Number of failure domains and of members per domain
 * @returns The measurements
 *
 * @example
 * const sample = await measureSimulatedFleet({ domains: 4, membersPerDomain: 32 });
 */
export async function measureSimulatedFleet(
  size: FleetSize,
): Promise<SimulatedFleetSample> {
  const fleet = createFleet(size);
  await fleet.startAll();
  await fleet.run(SETTLE_MS);
  const daemons = fleet.members.length;
  const start = { reads: fleet.store.reads, writes: fleet.store.writes };
  const idle = await measureTraffic(fleet, () => fleet.run(IDLE_MS));
  const steady = {
    reads: fleet.store.reads - start.reads,
    writes: fleet.store.writes - start.writes,
  };
  const changing = await measureTraffic(fleet, () => changeRecords(fleet));
  const records = countRecords(fleet);
  const falseEvictions = await countEvictionsAfterPause(fleet);
  const detectMs = await crashMembers(fleet);
  const perChange = (role: "member" | "delegate") =>
    (changing[role] - idle[role] * changing.seconds / idle.seconds) /
    CHANGE_COUNT;
  return {
    ...size,
    daemons,
    memberBytesPerSecond: idle.member / idle.seconds,
    delegateBytesPerSecond: idle.delegate / idle.seconds,
    worstBytesPerSecond: idle.worst / idle.seconds,
    memberBytesPerChange: perChange("member"),
    delegateBytesPerChange: perChange("delegate"),
    cpuMsPerSecond: idle.cpuMs / idle.seconds / daemons,
    ...records,
    detectMs,
    falseEvictions: falseEvictions + countFalseEvictions(fleet),
    startReadsPerDaemon: start.reads / daemons,
    startWritesPerDaemon: start.writes / daemons,
    steadyReadsPerSecond: steady.reads / idle.seconds,
    steadyWritesPerSecond: steady.writes / idle.seconds,
  };
}

function createFleet({ domains, membersPerDomain }: FleetSize): SimulatedFleet {
  const services = Math.max(
    4,
    Math.round(domains * membersPerDomain / INSTANCES_PER_SERVICE),
  );
  const fleet = new SimulatedFleet(createSimulatedFleetPlan({
    seed: domains * 1_000 + membersPerDomain,
    domains,
    membersPerDomain,
    services,
    entryServices: Math.ceil(services / 2),
  }));
  fleet.network.faults.lossRatio = LOSS_RATIO;
  const regionByAddress = new Map<string, string>();
  fleet.network.faults.delayMs = (source, target) => {
    if (regionByAddress.size < fleet.members.length) {
      fleet.members.forEach(({ address, record }) =>
        regionByAddress.set(address, record.region)
      );
    }
    const isSame = regionByAddress.get(source) === regionByAddress.get(target);
    return isSame ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS;
  };
  return fleet;
}

/** Bytes and processor time used during an action. */
interface TrafficSample {
  readonly member: number;
  readonly delegate: number;
  readonly worst: number;
  readonly cpuMs: number;
  readonly seconds: number;
}

async function measureTraffic(
  fleet: SimulatedFleet,
  run: () => Promise<void>,
): Promise<TrafficSample> {
  const before = fleet.members.map(countBytes);
  const cpuBefore = process.cpuUsage();
  const startedAtMs = fleet.clock.nowMs();
  await run();
  const cpu = process.cpuUsage(cpuBefore);
  const used = fleet.members.map((member, index) => ({
    isDelegate: member.membership.isDelegate,
    bytes: countBytes(member) - (before[index] ?? 0),
  }));
  const listBytes = (isDelegate: boolean) =>
    used.filter((each) => each.isDelegate === isDelegate).map(({ bytes }) =>
      bytes
    );
  return {
    member: average(listBytes(false)),
    delegate: average(listBytes(true)),
    worst: Math.max(...used.map(({ bytes }) => bytes)),
    cpuMs: (cpu.user + cpu.system) / MICROSECONDS_PER_MS,
    seconds: (fleet.clock.nowMs() - startedAtMs) / MS_PER_SECOND,
  };
}

async function changeRecords(fleet: SimulatedFleet): Promise<void> {
  for (let index = 0; index < CHANGE_COUNT; index += 1) {
    const member = fleet.members[index % fleet.members.length];
    member?.membership.updateSelf({ slots: index + 1 });
    await fleet.run(CHANGE_INTERVAL_MS);
  }
}

function countRecords(fleet: SimulatedFleet) {
  const listRecordCounts = (isDelegate: boolean) =>
    fleet.members.filter(({ membership }) =>
      membership.isDelegate === isDelegate
    ).map(({ membership }) => membership.listAll().length);
  return {
    memberRecords: average(listRecordCounts(false)),
    delegateRecords: average(listRecordCounts(true)),
  };
}

/**
 * Pauses one member for less time than an eviction takes. Returns the largest number
 * of running members considered dead afterwards.
 */
async function countEvictionsAfterPause(
  fleet: SimulatedFleet,
): Promise<number> {
  const member = fleet.members.at(-1);
  member?.clock.pause();
  await fleet.run(PAUSE_MS);
  member?.clock.resume();
  let worst = 0;
  for (
    let elapsedMs = 0;
    elapsedMs < DETECTION_WINDOW_MS;
    elapsedMs += MS_PER_SECOND
  ) {
    await fleet.run(MS_PER_SECOND);
    worst = Math.max(worst, countFalseEvictions(fleet));
  }
  return worst;
}

function countFalseEvictions(fleet: SimulatedFleet): number {
  const running = fleet.members.filter(({ clock }) => !clock.isPaused);
  const falselyEvicted = running.filter(({ record }) =>
    running.some(({ membership }) =>
      membership.find(record.incarnation)?.state === "dead"
    )
  );
  return falselyEvicted.length;
}

async function crashMembers(fleet: SimulatedFleet): Promise<number[]> {
  const detectMs: number[] = [];
  for (let index = 0; index < CRASH_COUNT; index += 1) {
    const crashed = fleet.members[index * 5 + 1];
    if (!crashed) {
      break;
    }
    fleet.crash(crashed);
    detectMs.push(...await measureDetectionMs(fleet, crashed));
  }
  return detectMs;
}

async function measureDetectionMs(
  fleet: SimulatedFleet,
  { record }: SimulatedMember,
): Promise<number[]> {
  const undetectedBy = new Set(
    fleet.members.filter(({ clock, membership }) =>
      !clock.isPaused && membership.find(record.incarnation)
    ),
  );
  const detectMs: number[] = [];
  for (
    let elapsedMs = POLL_INTERVAL_MS;
    undetectedBy.size > 0 && elapsedMs <= 4 * DETECTION_WINDOW_MS;
    elapsedMs += POLL_INTERVAL_MS
  ) {
    await fleet.run(POLL_INTERVAL_MS);
    for (const member of undetectedBy) {
      if (member.membership.find(record.incarnation)?.state === "dead") {
        undetectedBy.delete(member);
        detectMs.push(elapsedMs);
      }
    }
  }
  return [...detectMs, ...[...undetectedBy].map(() => Infinity)];
}

function countBytes({ membership }: SimulatedMember): number {
  return membership.traffic.sentBytes + membership.traffic.receivedBytes;
}

function average(values: readonly number[]): number {
  return values.length === 0
    ? 0
    : values.reduce((sum, value) => sum + value, 0) / values.length;
}
