/**
 * Fleet of simulated daemons in several failure domains, for tests of
 * configuration distribution.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import type { StoreTiming } from "../store/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { SimulatedConfigurationDaemon } from "./simulated_configuration_daemon.ts";
import type { ObjectApiFaults } from "./object_api_stand_in.ts";
import { ObjectTable } from "./object_table.ts";

/** Size and dependencies of a fleet. */
export interface ConfigurationFleetOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Failure domains and their regions. */
  readonly domains: readonly {
    readonly name: string;
    readonly region: string;
  }[];
  readonly daemonsPerDomain: number;
  /** Number of daemons per failure domain that watch the object API. */
  readonly watchersPerDomain?: number;
  /** Timeouts of store clients whose connections can be silenced; by default calls reach the table directly. */
  readonly storeTiming?: StoreTiming;
  /** Times after a kill at which the other daemons suspect and evict the member; both 0 by default. */
  readonly detection?: {
    readonly suspectedAfterMs: number;
    readonly evictedAfterMs: number;
  };
  /** Creates the holder of each daemon; tests inject a defective one. */
  readonly createHolder?: () => ConfigurationHolder;
}

/** The activation of a version in one process. */
export interface ActivationEvent {
  readonly address: string;
  readonly incarnation: string;
  readonly version: number;
  readonly digest: string;
  readonly atMs: number;
}

const SAME_DOMAIN_LATENCY_MS = 1;
const SAME_REGION_LATENCY_MS = 2;
const CROSS_REGION_LATENCY_MS = 31;

/** Simulated daemons with a shared object table and injectable faults. */
export class ConfigurationFleet {
  readonly options: ConfigurationFleetOptions;
  readonly table = new ObjectTable();
  readonly events: ActivationEvent[] = [];
  daemons: SimulatedConfigurationDaemon[] = [];
  readonly #faults = new Map<string, ObjectApiFaults>();
  readonly #partitionedDomains = new Set<string>();
  #startCount = 0;

  constructor(options: ConfigurationFleetOptions) {
    this.options = options;
    for (const { name } of options.domains) {
      this.#faults.set(name, createFaults());
    }
  }

  /** Starts every daemon. */
  start(): void {
    for (const { name, region } of this.options.domains) {
      for (let index = 0; index < this.options.daemonsPerDomain; index += 1) {
        this.daemons.push(this.#launch(`${name}/${index}`, name, region));
      }
    }
  }

  /** Starts a new process at the address of a killed one. */
  restart(stopped: SimulatedConfigurationDaemon): SimulatedConfigurationDaemon {
    const { address, failureDomain, region } = stopped.self;
    const replacement = this.#launch(address, failureDomain, region);
    this.daemons = this.daemons.map((daemon) =>
      daemon === stopped ? replacement : daemon
    );
    return replacement;
  }

  /** Kills every daemon. */
  stop(): void {
    this.daemons.forEach((daemon) => daemon.kill());
    this.table.notifyAll();
  }

  /** Store faults that apply to a failure domain. */
  getFaults(domain: string): ObjectApiFaults {
    return this.#faults.get(domain) ?? createFaults();
  }

  /** Sets store faults for every failure domain. */
  setFaults(changes: Partial<ObjectApiFaults>): void {
    for (const faults of this.#faults.values()) {
      Object.assign(faults, changes);
    }
    this.table.notifyAll();
  }

  /** Partitions a failure domain from all others, or heals the partition. */
  setPartitioned(domain: string, isPartitioned: boolean): void {
    this.#partitionedDomains[isPartitioned ? "add" : "delete"](domain);
  }

  /** Whether a failure domain is partitioned from all others. */
  isDomainPartitioned(domain: string): boolean {
    return this.#partitionedDomains.has(domain);
  }

  /** Whether a partition separates two daemons. */
  isPartitioned(
    left: SimulatedConfigurationDaemon,
    right: SimulatedConfigurationDaemon,
  ): boolean {
    const [leftDomain, rightDomain] = [
      left.self.failureDomain,
      right.self.failureDomain,
    ];
    return leftDomain !== rightDomain &&
      (this.#partitionedDomains.has(leftDomain) ||
        this.#partitionedDomains.has(rightDomain));
  }

  /** One-way latency between two daemons, in milliseconds. */
  getLatencyMs(
    left: SimulatedConfigurationDaemon,
    right: SimulatedConfigurationDaemon,
  ): number {
    if (left.self.region !== right.self.region) {
      return CROSS_REGION_LATENCY_MS;
    }
    return left.self.failureDomain === right.self.failureDomain
      ? SAME_DOMAIN_LATENCY_MS
      : SAME_REGION_LATENCY_MS;
  }

  /** Running daemons that a daemon can reach, including itself. */
  listReachable(
    from: SimulatedConfigurationDaemon,
  ): SimulatedConfigurationDaemon[] {
    return this.daemons.filter((daemon) =>
      daemon.isRunning && !this.isPartitioned(from, daemon)
    );
  }

  /** Records of the members that a daemon takes for live, which includes killed ones until they are evicted. */
  listLiveRecords(from: SimulatedConfigurationDaemon): MemberRecord[] {
    const { clock, detection } = this.options;
    const { suspectedAfterMs = 0, evictedAfterMs = 0 } = detection ?? {};
    const nowMs = clock.monotonicMs();
    return this.daemons.filter((daemon) => !this.isPartitioned(from, daemon))
      .flatMap(({ killedAtMs = nowMs, isRunning, self }) => {
        const downMs = nowMs - killedAtMs;
        if (isRunning || downMs < suspectedAfterMs) {
          return [self];
        }
        return downMs < evictedAfterMs ? [{ ...self, state: "suspect" }] : [];
      });
  }

  /** A random daemon that a daemon can reach, other than itself. */
  chooseReachablePeer(
    from: SimulatedConfigurationDaemon,
  ): SimulatedConfigurationDaemon | undefined {
    const peers = this.listReachable(from).filter((peer) => peer !== from);
    return this.options.random.choose(peers);
  }

  /** The running daemon with an incarnation. */
  findRunningDaemon(
    incarnation: string,
  ): SimulatedConfigurationDaemon | undefined {
    return this.daemons.find(({ isRunning, self }) =>
      isRunning && self.incarnation === incarnation
    );
  }

  /** Records the activation of a version. */
  recordActivation(
    { holder, self }: SimulatedConfigurationDaemon,
    version: number,
  ): void {
    const { address, incarnation } = self;
    const atMs = this.options.clock.monotonicMs();
    const { digest } = holder;
    this.events.push({ address, incarnation, version, digest, atMs });
  }

  #launch(
    address: string,
    failureDomain: string,
    region: string,
  ): SimulatedConfigurationDaemon {
    this.#startCount += 1;
    return new SimulatedConfigurationDaemon(this, {
      incarnation: `${address}#${this.#startCount}`,
      address,
      peerPort: 1,
      region,
      failureDomain,
      startedAtMs: this.options.clock.nowMs(),
      version: 1,
      state: "alive",
      service: "",
      slots: 0,
      inFlight: 0,
      warmAtMs: 0,
      successor: "",
    });
  }
}

/** Creates the initial store faults: none, and a short delay. */
function createFaults(): ObjectApiFaults {
  return {
    isDown: false,
    losesResponses: false,
    servesStaleReads: false,
    delayMs: 2,
  };
}
