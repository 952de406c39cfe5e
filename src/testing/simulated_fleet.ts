/**
 * Many memberships in one process on a network in memory, moved by hand.
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

/** What a light fleet consists of. */
export interface SimulatedFleetPlan {
  readonly seed: number;
  /** Regions with the names of their failure domains. */
  readonly regions: Readonly<Record<string, readonly string[]>>;
  readonly membersPerDomain: number;
  /** Service of the instance with this number, counted over the fleet. */
  readonly chooseService: (index: number) => string;
  readonly configuration?: Configuration;
  /** Parts of the membership that differ. */
  readonly options?: (
    clock: PausableClock,
  ) => Partial<GossipMembershipOptions>;
  /** Whether the store is down for a failure domain. */
  readonly isStoreDown?: (failureDomain: string) => boolean;
}

/** One member of a light fleet. */
export interface SimulatedMember {
  readonly membership: GossipMembership;
  readonly clock: PausableClock;
  readonly record: MemberRecord;
  readonly address: string;
}

const PEER_PORT = 7102;
const STEP_MS = 10;

/** Memberships that run on one clock. */
export class SimulatedFleet {
  readonly clock = new ManualClock();
  readonly store = new MemoryStore();
  readonly network: DatagramNetwork;
  readonly members: SimulatedMember[] = [];
  readonly #plan: SimulatedFleetPlan;
  readonly #domains: readonly { region: string; failureDomain: string }[];
  #starts = 0;

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

  /** Starts another process at the address of a member that has ended. */
  async restart(member: SimulatedMember): Promise<SimulatedMember> {
    const index = this.members.indexOf(member);
    const next = await this.#start(index);
    this.members[index] = next;
    return next;
  }

  /** Ends a member without a word. */
  crash(member: SimulatedMember): void {
    member.clock.pause();
    this.network.disconnect(member.address);
  }

  /** Moves time on, and lets what waits for promises run in between. */
  async run(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await Promise.resolve();
      await Promise.resolve();
      await Promise.resolve();
    }
  }

  /** Members of a failure domain. */
  listDomain(failureDomain: string): SimulatedMember[] {
    return this.members.filter(({ record }) =>
      record.failureDomain === failureDomain
    );
  }

  async #start(index: number): Promise<SimulatedMember> {
    const { configuration, chooseService, seed, options } = this.#plan;
    const domain = this.#domains[index % this.#domains.length] ??
      { region: "", failureDomain: "" };
    this.#starts += 1;
    const clock = new PausableClock(this.clock);
    const record = createSimulatedRecord({
      ...domain,
      address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`,
      peerPort: PEER_PORT,
      startedAtMs: this.clock.nowMs() + this.#starts,
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
      store: isDown ? createDownStore() : this.store,
      clock,
      random: new RandomSource(seed * 10_007 + this.#starts),
      log: createSilentLogger(),
      configuration: holder,
      transport: this.network.createTransport(address, clock),
      ...options?.(clock),
    });
    await membership.start();
    return { membership, clock, record, address };
  }
}

function createDownStore(): MemoryStore {
  const store = new MemoryStore();
  store.isDown = true;
  return store;
}

/**
 * Creates a member record.
 *
 * @param changes - Parts that differ
 * @returns The record
 *
 * @example
 * const record = createLightRecord({ service: "stock" });
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
