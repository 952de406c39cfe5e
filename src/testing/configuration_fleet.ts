/**
 * Light daemons in one process: the real spread of configurations over fakes of
 * the store's access, gossip and peer connections.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import {
  ConfigurationHolder,
  ConfigurationPeers,
  ConfigurationReader,
  ConfigurationSpread,
  createConfigurationTransfer,
} from "../configuration/mod.ts";
import type { VersionNotice } from "../configuration/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import { createSilentLogger, DecisionJournal } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { MemoryObjectStore } from "./memory_object_store.ts";
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

/** Interval at which each daemon exchanges its version with one other, in milliseconds. */
const GOSSIP_INTERVAL_MS = 1_000;
const ANNOUNCE_FANOUT = 3;

/** Bytes of a version on a probe that is sent anyway. */
const GOSSIP_VERSION_BYTES = 8;

/** Bytes of a datagram that tells a version, with the headers of IP and UDP. */
const ANNOUNCEMENT_BYTES = 300;

/** Bytes of opening a connection, greeting and closing, with the headers of IP and TCP. */
const CONNECTION_BYTES = 1_000;

const FETCH_TIMEOUT_MS = 3_000;
const SAME_DOMAIN_MS = 1;
const SAME_REGION_MS = 2;
const OTHER_REGION_MS = 31;

/** One daemon, as far as configurations concern it. */
export class LightDaemon extends ConfigurationPeers {
  override readonly self: MemberRecord;
  readonly holder: ConfigurationHolder;
  readonly spread: ConfigurationSpread;
  readonly store: MemoryObjectStore;
  readonly journal: DecisionJournal;
  /** Bytes of configuration traffic with peers, sent and received. */
  peerBytes = 0;
  isRunning = true;
  readonly #fleet: ConfigurationFleet;
  readonly #stop = new AbortController();
  readonly #stopGossip: () => void;

  constructor(fleet: ConfigurationFleet, self: MemberRecord) {
    super();
    const { clock, random, createHolder } = fleet.options;
    this.#fleet = fleet;
    this.self = self;
    this.holder = createHolder?.() ?? new ConfigurationHolder();
    const faults = fleet.faultsOf(self.failureDomain);
    this.store = new MemoryObjectStore({ table: fleet.table, clock, faults });
    this.journal = new DecisionJournal(clock);
    this.spread = new ConfigurationSpread({
      reader: new ConfigurationReader(this.store),
      holder: this.holder,
      peers: this,
      clock,
      random,
      log: createSilentLogger(),
      journal: this.journal,
    });
    this.holder.subscribe(({ version }) => fleet.noteInForce(this, version));
    void this.spread.run(this.#stop.signal);
    this.#stopGossip = clock.scheduleEvery(
      GOSSIP_INTERVAL_MS + random.nextInteger(GOSSIP_INTERVAL_MS / 10),
      () => this.#gossip(),
    );
  }

  override listLive(): readonly MemberRecord[] {
    return this.#fleet.listReachable(this).map(({ self }) => self);
  }

  override announce(): void {
    for (let count = 0; count < ANNOUNCE_FANOUT; count += 1) {
      this.#tell(this.#fleet.chooseOther(this), ANNOUNCEMENT_BYTES);
    }
  }

  override async fetch(
    peer: VersionNotice,
    knownVersion: number,
  ): Promise<Result<Uint8Array, VError>> {
    const { clock } = this.#fleet.options;
    const target = this.#fleet.findRunning(peer.incarnation);
    if (!target || this.#fleet.isCut(this, target)) {
      await clock.sleep(FETCH_TIMEOUT_MS);
      return err(new VError({ name: "ConfigurationFetchFailed" }, "cut off"));
    }
    await clock.sleep(2 * this.#fleet.latencyMs(this, target));
    const bytes = createConfigurationTransfer(target.holder, knownVersion);
    target.peerBytes += bytes.length + CONNECTION_BYTES;
    this.peerBytes += bytes.length + CONNECTION_BYTES;
    await clock.sleep(this.#fleet.latencyMs(this, target));
    return ok(bytes);
  }

  /** Ends the process; nothing of it is left. */
  kill(): void {
    this.isRunning = false;
    this.#stop.abort();
    this.#stopGossip();
  }

  #gossip(): void {
    const other = this.#fleet.chooseOther(this);
    this.#tell(other, GOSSIP_VERSION_BYTES);
    if (other) {
      other.#tell(this, GOSSIP_VERSION_BYTES);
    }
  }

  #tell(other: LightDaemon | undefined, bytes: number): void {
    if (!other || !this.isRunning || this.#fleet.isCut(this, other)) {
      return;
    }
    const { version } = this.holder;
    this.peerBytes += bytes;
    other.peerBytes += bytes;
    this.#fleet.options.clock.schedule(
      this.#fleet.latencyMs(this, other),
      () => {
        if (other.isRunning) {
          other.spread.takeNotice({ ...this.self, version });
        }
      },
    );
  }
}

/** Light daemons in several failure domains. */
export class ConfigurationFleet {
  readonly options: ConfigurationFleetOptions;
  readonly table = new ObjectTable();
  readonly events: InForceEvent[] = [];
  daemons: LightDaemon[] = [];
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
  restart(old: LightDaemon): LightDaemon {
    const { address, failureDomain, region } = old.self;
    const next = this.#launch(address, failureDomain, region);
    this.daemons = this.daemons.map((daemon) => daemon === old ? next : daemon);
    return next;
  }

  /** Kills every daemon. */
  stop(): void {
    this.daemons.forEach((daemon) => daemon.kill());
    this.table.wakeAll();
  }

  /** Faults of the store as one failure domain sees it. */
  faultsOf(domain: string): ObjectApiFaults {
    return this.#faults.get(domain) ?? createFaults();
  }

  /** Sets a fault of the store for every failure domain. */
  setFaults(changes: Partial<ObjectApiFaults>): void {
    for (const faults of this.#faults.values()) {
      Object.assign(faults, changes);
    }
    this.table.wakeAll();
  }

  /** Cuts a failure domain off from all others, or heals that. */
  setCut(domain: string, isCut: boolean): void {
    this.#cutDomains[isCut ? "add" : "delete"](domain);
  }

  /** Whether a failure domain is cut off from all others. */
  isDomainCut(domain: string): boolean {
    return this.#cutDomains.has(domain);
  }

  /** Whether nothing passes between two daemons. */
  isCut(left: LightDaemon, right: LightDaemon): boolean {
    const [one, other] = [left.self.failureDomain, right.self.failureDomain];
    return one !== other &&
      (this.#cutDomains.has(one) || this.#cutDomains.has(other));
  }

  /** Time of one way between two daemons, in milliseconds. */
  latencyMs(left: LightDaemon, right: LightDaemon): number {
    if (left.self.region !== right.self.region) {
      return OTHER_REGION_MS;
    }
    return left.self.failureDomain === right.self.failureDomain
      ? SAME_DOMAIN_MS
      : SAME_REGION_MS;
  }

  /** Daemons that run and are not cut off from one, itself included. */
  listReachable(from: LightDaemon): LightDaemon[] {
    return this.daemons.filter((daemon) =>
      daemon.isRunning && !this.isCut(from, daemon)
    );
  }

  /** A random daemon that another can reach. */
  chooseOther(from: LightDaemon): LightDaemon | undefined {
    const others = this.listReachable(from).filter((other) => other !== from);
    return this.options.random.choose(others);
  }

  /** The running daemon of an incarnation. */
  findRunning(incarnation: string): LightDaemon | undefined {
    return this.daemons.find(({ isRunning, self }) =>
      isRunning && self.incarnation === incarnation
    );
  }

  /** Records that a version came into force. */
  noteInForce({ holder, self }: LightDaemon, version: number): void {
    const { address, incarnation } = self;
    const atMs = this.options.clock.monotonicMs();
    const { digest } = holder;
    this.events.push({ address, incarnation, version, digest, atMs });
  }

  #launch(
    address: string,
    failureDomain: string,
    region: string,
  ): LightDaemon {
    this.#startCount += 1;
    return new LightDaemon(this, {
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
    losesAnswers: false,
    answersFromPast: false,
    delayMs: 2,
  };
}
