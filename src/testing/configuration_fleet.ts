/**
 * Light daemons in several failure domains of one process.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { SimulatedConfigurationDaemon } from "./simulated_configuration_daemon.ts";
import type { ObjectApiFaults } from "./object_api_stand_in.ts";
import { ObjectTable } from "./object_table.ts";

/** What a fleet consists of. */
export interface ConfigurationFleetOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Failure domains with the region of each. */
  readonly domains: readonly {
    readonly name: string;
    readonly region: string;
  }[];
  readonly daemonsPerDomain: number;
  /** Daemons of a failure domain that watch the object API. */
  readonly watchersPerDomain?: number;
  /** Creates the part that a test replaces by a defective one. */
  readonly createHolder?: () => ConfigurationHolder;
}

/** A version that came into force in one process. */
export interface InForceEvent {
  readonly address: string;
  readonly incarnation: string;
  readonly version: number;
  readonly digest: string;
  readonly atMs: number;
}

const SAME_DOMAIN_MS = 1;
const SAME_REGION_MS = 2;
const OTHER_REGION_MS = 31;

/** Light daemons in several failure domains. */
export class ConfigurationFleet {
  readonly options: ConfigurationFleetOptions;
  readonly table = new ObjectTable();
  readonly events: InForceEvent[] = [];
  daemons: SimulatedConfigurationDaemon[] = [];
  readonly #faults = new Map<string, ObjectApiFaults>();
  readonly #cutDomains = new Set<string>();
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

  /** Starts a new process on the address of one that was killed. */
  restart(old: SimulatedConfigurationDaemon): SimulatedConfigurationDaemon {
    const { address, failureDomain, region } = old.self;
    const next = this.#launch(address, failureDomain, region);
    this.daemons = this.daemons.map((daemon) => daemon === old ? next : daemon);
    return next;
  }

  /** Kills every daemon. */
  stop(): void {
    this.daemons.forEach((daemon) => daemon.kill());
    this.table.notifyAll();
  }

  /** Faults of the store as one failure domain sees it. */
  getFaults(domain: string): ObjectApiFaults {
    return this.#faults.get(domain) ?? createFaults();
  }

  /** Sets a fault of the store for every failure domain. */
  setFaults(changes: Partial<ObjectApiFaults>): void {
    for (const faults of this.#faults.values()) {
      Object.assign(faults, changes);
    }
    this.table.notifyAll();
  }

  /** Cuts a failure domain off from all others, or heals that. */
  setPartitioned(domain: string, isCut: boolean): void {
    this.#cutDomains[isCut ? "add" : "delete"](domain);
  }

  /** Whether a failure domain is cut off from all others. */
  isDomainPartitioned(domain: string): boolean {
    return this.#cutDomains.has(domain);
  }

  /** Whether nothing passes between two daemons. */
  isCut(
    left: SimulatedConfigurationDaemon,
    right: SimulatedConfigurationDaemon,
  ): boolean {
    const [one, other] = [left.self.failureDomain, right.self.failureDomain];
    return one !== other &&
      (this.#cutDomains.has(one) || this.#cutDomains.has(other));
  }

  /** Time of one way between two daemons, in milliseconds. */
  latencyMs(
    left: SimulatedConfigurationDaemon,
    right: SimulatedConfigurationDaemon,
  ): number {
    if (left.self.region !== right.self.region) {
      return OTHER_REGION_MS;
    }
    return left.self.failureDomain === right.self.failureDomain
      ? SAME_DOMAIN_MS
      : SAME_REGION_MS;
  }

  /** Daemons that run and are not cut off from one, itself included. */
  listReachable(
    from: SimulatedConfigurationDaemon,
  ): SimulatedConfigurationDaemon[] {
    return this.daemons.filter((daemon) =>
      daemon.isRunning && !this.isCut(from, daemon)
    );
  }

  /** A random daemon that another can reach. */
  chooseOther(
    from: SimulatedConfigurationDaemon,
  ): SimulatedConfigurationDaemon | undefined {
    const others = this.listReachable(from).filter((other) => other !== from);
    return this.options.random.choose(others);
  }

  /** The running daemon of an incarnation. */
  findRunning(incarnation: string): SimulatedConfigurationDaemon | undefined {
    return this.daemons.find(({ isRunning, self }) =>
      isRunning && self.incarnation === incarnation
    );
  }

  /** Records that a version came into force. */
  noteInForce(
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

function createFaults(): ObjectApiFaults {
  return {
    isDown: false,
    losesResponses: false,
    servesStaleReads: false,
    delayMs: 2,
  };
}
