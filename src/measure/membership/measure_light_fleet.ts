/**
 * Costs and detection times of the membership, from many daemons' memberships
 * in one process on a network in memory.
 */

import process from "node:process";
import { createSimulatedFleetPlan } from "../../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../../testing/simulated_fleet.ts";
import type { SimulatedMember } from "../../testing/simulated_fleet.ts";

/** Size of a light fleet. */
export interface LightSize {
  readonly domains: number;
  readonly membersPerDomain: number;
}

/** What was measured at one size. */
export interface LightSample extends LightSize {
  readonly daemons: number;
  /** Bytes sent and received by one daemon while nothing changes. */
  readonly memberBytesPerSecond: number;
  readonly delegateBytesPerSecond: number;
  readonly worstBytesPerSecond: number;
  /** Bytes sent and received by one daemon for one change anywhere in the fleet. */
  readonly memberBytesPerChange: number;
  readonly delegateBytesPerChange: number;
  /** Processor time of one daemon while nothing changes. */
  readonly cpuMsPerSecond: number;
  readonly memberRecords: number;
  readonly delegateRecords: number;
  /** From a crash until an observer that knows the member has it as dead, over all pairs. */
  readonly detectMs: readonly number[];
  readonly falseEvictions: number;
  readonly startReadsPerDaemon: number;
  readonly startWritesPerDaemon: number;
  readonly steadyReadsPerSecond: number;
  readonly steadyWritesPerSecond: number;
}

const INSTANCES_PER_SERVICE = 8;
const LOSS_RATIO = 0.01;
const LINK_DELAY_MS = 30;
const DOMAIN_DELAY_MS = 0.5;
const SETTLE_MS = 300_000;
const QUIET_MS = 60_000;
const CHANGES = 30;
const CHANGE_INTERVAL_MS = 1_000;
const CRASHES = 4;
const DETECT_MS = 15_000;
const SAMPLE_MS = 100;
const PAUSE_MS = 2_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/**
 * Measures one size: at rest, under changes, with pauses and with crashes.
 *
 * @param size - Failure domains and members in each
 * @returns What was measured
 *
 * @example
 * const sample = await measureLightFleet({ domains: 4, membersPerDomain: 32 });
 */
export async function measureLightFleet(
  size: LightSize,
): Promise<LightSample> {
  const fleet = createFleet(size);
  await fleet.startAll();
  await fleet.run(SETTLE_MS);
  const daemons = fleet.members.length;
  const start = { reads: fleet.store.reads, writes: fleet.store.writes };
  const quiet = await watchTraffic(fleet, () => fleet.run(QUIET_MS));
  const steady = {
    reads: fleet.store.reads - start.reads,
    writes: fleet.store.writes - start.writes,
  };
  const busy = await watchTraffic(fleet, () => makeChanges(fleet));
  const records = countRecords(fleet);
  const falseEvictions = await pauseOne(fleet);
  const detectMs = await crashSome(fleet);
  const perChange = (role: "member" | "delegate") =>
    (busy[role] - quiet[role] * busy.seconds / quiet.seconds) / CHANGES;
  return {
    ...size,
    daemons,
    memberBytesPerSecond: quiet.member / quiet.seconds,
    delegateBytesPerSecond: quiet.delegate / quiet.seconds,
    worstBytesPerSecond: quiet.worst / quiet.seconds,
    memberBytesPerChange: perChange("member"),
    delegateBytesPerChange: perChange("delegate"),
    cpuMsPerSecond: quiet.cpuMs / quiet.seconds / daemons,
    ...records,
    detectMs,
    falseEvictions: falseEvictions + countFalselyDead(fleet),
    startReadsPerDaemon: start.reads / daemons,
    startWritesPerDaemon: start.writes / daemons,
    steadyReadsPerSecond: steady.reads / quiet.seconds,
    steadyWritesPerSecond: steady.writes / quiet.seconds,
  };
}

function createFleet({ domains, membersPerDomain }: LightSize): SimulatedFleet {
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
    return isSame ? DOMAIN_DELAY_MS : LINK_DELAY_MS;
  };
  return fleet;
}

interface TrafficWindow {
  readonly member: number;
  readonly delegate: number;
  readonly worst: number;
  readonly cpuMs: number;
  readonly seconds: number;
}

async function watchTraffic(
  fleet: SimulatedFleet,
  run: () => Promise<void>,
): Promise<TrafficWindow> {
  const before = fleet.members.map(countBytes);
  const cpuBefore = process.cpuUsage();
  const startedAtMs = fleet.clock.nowMs();
  await run();
  const cpu = process.cpuUsage(cpuBefore);
  const used = fleet.members.map((member, index) => ({
    isDelegate: member.membership.isDelegate,
    bytes: countBytes(member) - (before[index] ?? 0),
  }));
  const bytesOf = (isDelegate: boolean) =>
    used.filter((each) => each.isDelegate === isDelegate).map(({ bytes }) =>
      bytes
    );
  return {
    member: average(bytesOf(false)),
    delegate: average(bytesOf(true)),
    worst: Math.max(...used.map(({ bytes }) => bytes)),
    cpuMs: (cpu.user + cpu.system) / MICROSECONDS_PER_MS,
    seconds: (fleet.clock.nowMs() - startedAtMs) / MS_PER_SECOND,
  };
}

async function makeChanges(fleet: SimulatedFleet): Promise<void> {
  for (let index = 0; index < CHANGES; index += 1) {
    const member = fleet.members[index % fleet.members.length];
    member?.membership.updateSelf({ slots: index + 1 });
    await fleet.run(CHANGE_INTERVAL_MS);
  }
}

function countRecords(fleet: SimulatedFleet) {
  const sizesOf = (isDelegate: boolean) =>
    fleet.members.filter(({ membership }) =>
      membership.isDelegate === isDelegate
    ).map(({ membership }) => membership.listAll().length);
  return {
    memberRecords: average(sizesOf(false)),
    delegateRecords: average(sizesOf(true)),
  };
}

/** Pauses one member for less than the time in which it is evicted. */
async function pauseOne(fleet: SimulatedFleet): Promise<number> {
  const member = fleet.members.at(-1);
  member?.clock.pause();
  await fleet.run(PAUSE_MS);
  member?.clock.resume();
  let worst = 0;
  for (let passedMs = 0; passedMs < DETECT_MS; passedMs += MS_PER_SECOND) {
    await fleet.run(MS_PER_SECOND);
    worst = Math.max(worst, countFalselyDead(fleet));
  }
  return worst;
}

function countFalselyDead(fleet: SimulatedFleet): number {
  const running = fleet.members.filter(({ clock }) => !clock.isPaused);
  const falsely = running.filter(({ record }) =>
    running.some(({ membership }) =>
      membership.find(record.incarnation)?.state === "dead"
    )
  );
  return falsely.length;
}

async function crashSome(fleet: SimulatedFleet): Promise<number[]> {
  const detectMs: number[] = [];
  for (let index = 0; index < CRASHES; index += 1) {
    const victim = fleet.members[index * 5 + 1];
    if (!victim) {
      break;
    }
    fleet.crash(victim);
    detectMs.push(...await watchDetection(fleet, victim));
  }
  return detectMs;
}

async function watchDetection(
  fleet: SimulatedFleet,
  { record }: SimulatedMember,
): Promise<number[]> {
  const waiting = new Set(
    fleet.members.filter(({ clock, membership }) =>
      !clock.isPaused && membership.find(record.incarnation)
    ),
  );
  const detectMs: number[] = [];
  for (
    let passedMs = SAMPLE_MS;
    waiting.size > 0 && passedMs <= 4 * DETECT_MS;
    passedMs += SAMPLE_MS
  ) {
    await fleet.run(SAMPLE_MS);
    for (const member of waiting) {
      if (member.membership.find(record.incarnation)?.state === "dead") {
        waiting.delete(member);
        detectMs.push(passedMs);
      }
    }
  }
  return [...detectMs, ...[...waiting].map(() => Infinity)];
}

function countBytes({ membership }: SimulatedMember): number {
  return membership.traffic.sentBytes + membership.traffic.receivedBytes;
}

function average(values: readonly number[]): number {
  return values.length === 0
    ? 0
    : values.reduce((sum, value) => sum + value, 0) / values.length;
}
