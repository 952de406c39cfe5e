/**
 * Simulated fleet of memberships in one process, on an in-memory network and a
 * manual clock.
 */

import { ConfigurationHolder } from "../configuration/mod.ts";
import type { Configuration, MemberRecord } from "../generated/types.ts";
import { GossipMembership } from "../membership/mod.ts";
import type { GossipMembershipOptions } from "../membership/mod.ts";
import { createSilentLogger } from "../telemetry/mod.ts";
import { RandomSource } from "../time/mod.ts";
import { DatagramNetwork } from "./datagram_network.ts";
import { ManualClock } from "./manual_clock.ts";
import { MemoryStore } from "./memory_store.ts";
import { PausableClock } from "./pausable_clock.ts";

/** Members and settings of a simulated fleet. */
export interface SimulatedFleetPlan {
  readonly seed: number;
  /** Names of the failure domains of each region. */
  readonly regions: Readonly<Record<string, readonly string[]>>;
  readonly membersPerDomain: number;
  /** Returns the service of the instance with an index, counted over the fleet. */
  readonly chooseService: (index: number) => string;
  readonly configuration?: Configuration;
  /** Returns membership options to override. */
  readonly options?: (
    clock: PausableClock,
  ) => Partial<GossipMembershipOptions>;
  /** Whether the store is unavailable to a failure domain. */
  readonly isStoreDown?: (failureDomain: string) => boolean;
}

/** One member of a simulated fleet. */
export interface SimulatedMember {
  readonly membership: GossipMembership;
  readonly clock: PausableClock;
  readonly record: MemberRecord;
  readonly address: string;
}

const PEER_PORT = 7102;
const STEP_MS = 10;

/** Memberships that share a clock, a store and a network. */
export class SimulatedFleet {
  readonly clock = new ManualClock();
  readonly store = new MemoryStore();
  readonly network: DatagramNetwork;
  readonly members: SimulatedMember[] = [];
  readonly #plan: SimulatedFleetPlan;
  readonly #domains: readonly { region: string; failureDomain: string }[];
  #startCount = 0;

  constructor(plan: SimulatedFleetPlan) {
    this.#plan = plan;
    this.network = new DatagramNetwork(this.clock, new RandomSource(plan.seed));
    this.#domains = Object.entries(plan.regions).flatMap(([region, names]) =>
      names.map((failureDomain) => ({ region, failureDomain }))
    );
  }

  /** Starts every member. */
  async startAll(): Promise<void> {
    const count = this.#domains.length * this.#plan.membersPerDomain;
    for (let index = 0; index < count; index += 1) {
      this.members.push(await this.#start(index));
    }
  }

  /** Starts a new process at the address of a crashed member. */
  async restart(member: SimulatedMember): Promise<SimulatedMember> {
    const index = this.members.indexOf(member);
    const replacement = await this.#start(index);
    this.members[index] = replacement;
    return replacement;
  }

  /** Crashes a member: it sends and receives nothing from now on. */
  crash(member: SimulatedMember): void {
    member.clock.pause();
    this.network.disconnect(member.address);
  }

  /** Advances the clock in steps; pending promises settle in between. */
  async run(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await Promise.resolve();
      await Promise.resolve();
      await Promise.resolve();
    }
  }

  /** Lists the members of a failure domain. */
  listDomain(failureDomain: string): SimulatedMember[] {
    return this.members.filter(({ record }) =>
      record.failureDomain === failureDomain
    );
  }

  async #start(index: number): Promise<SimulatedMember> {
    const { configuration, chooseService, seed, options } = this.#plan;
    const domain = this.#domains[index % this.#domains.length] ??
      { region: "", failureDomain: "" };
    this.#startCount += 1;
    const clock = new PausableClock(this.clock);
    const record = createSimulatedRecord({
      ...domain,
      address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`,
      peerPort: PEER_PORT,
      startedAtMs: this.clock.nowMs() + this.#startCount,
      service: chooseService(index),
    });
    const address = `${record.address}:${record.peerPort}`;
    const holder = new ConfigurationHolder();
    if (configuration) {
      holder.replaceIfNewer(configuration, 1);
    }
    const isDown = this.#plan.isStoreDown?.(record.failureDomain) ?? false;
    const membership = new GossipMembership({
      self: record,
      fleetToken: "light-fleet-token",
      seeds: [],
      store: isDown ? createUnavailableStore() : this.store,
      clock,
      random: new RandomSource(seed * 10_007 + this.#startCount),
      log: createSilentLogger(),
      configuration: holder,
      transport: this.network.createTransport(address, clock),
      ...options?.(clock),
    });
    await membership.start();
    return { membership, clock, record, address };
  }
}

function createUnavailableStore(): MemoryStore {
  const store = new MemoryStore();
  store.isDown = true;
  return store;
}

/**
 * Creates the member record of a simulated member.
 *
 * @param changes - Fields to override
 * @returns The record
 *
 * @example
 * const record = createSimulatedRecord({ service: "stock" });
 */
export function createSimulatedRecord(
  changes: Partial<MemberRecord> = {},
): MemberRecord {
  const address = changes.address ?? "10.0.0.1";
  const startedAtMs = changes.startedAtMs ?? 1;
  return {
    incarnation: `${address}:${PEER_PORT}/${startedAtMs.toString(36)}`,
    address,
    peerPort: PEER_PORT,
    region: "region",
    failureDomain: "domain",
    startedAtMs,
    version: 1,
    state: "alive",
    service: "",
    slots: 8,
    inFlight: 0,
    warmAtMs: 0,
    successor: "",
    ...changes,
  };
}
