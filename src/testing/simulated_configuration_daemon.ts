/**
 * One light daemon: the real spread of configurations over fakes of the store's
 * access, gossip and peer connections.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import {
  ConfigurationDistributor,
  ConfigurationHolder,
  ConfigurationPeers,
  ConfigurationReader,
  createConfigurationTransfer,
  StoredConfigurationSource,
} from "../configuration/mod.ts";
import type { VersionNotice } from "../configuration/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import { createSilentLogger, DecisionJournal } from "../telemetry/mod.ts";
import type { ConfigurationFleet } from "./configuration_fleet.ts";
import { MemoryObjectStore } from "./memory_object_store.ts";

/** Interval at which each daemon exchanges its version with one other, in milliseconds. */
const GOSSIP_INTERVAL_MS = 1_000;

/** Daemons that are told of a new version at once. */
const ANNOUNCE_FANOUT = 3;

/** Bytes of a version on a probe that is sent anyway. */
const GOSSIP_VERSION_BYTES = 8;

/** Bytes of a datagram that tells a version, with the headers of IP and UDP. */
const ANNOUNCEMENT_BYTES = 300;

/** Bytes of opening a connection, greeting and closing, with the headers of IP and TCP. */
const CONNECTION_BYTES = 1_000;

/** Time after which a fetch from a peer that cannot be reached fails, in milliseconds. */
const FETCH_TIMEOUT_MS = 3_000;

/** One daemon, as far as configurations concern it. */
export class SimulatedConfigurationDaemon extends ConfigurationPeers {
  override readonly self: MemberRecord;
  readonly holder: ConfigurationHolder;
  readonly distributor: ConfigurationDistributor;
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
    const { clock, createHolder, random, watchersPerDomain } = fleet.options;
    this.#fleet = fleet;
    this.self = self;
    this.holder = createHolder?.() ?? new ConfigurationHolder();
    const faults = fleet.getFaults(self.failureDomain);
    this.store = new MemoryObjectStore({ table: fleet.table, clock, faults });
    this.journal = new DecisionJournal(clock);
    this.distributor = new ConfigurationDistributor({
      source: new StoredConfigurationSource(
        new ConfigurationReader(this.store),
      ),
      holder: this.holder,
      peers: this,
      clock,
      random,
      log: createSilentLogger(),
      journal: this.journal,
      ...watchersPerDomain === undefined ? {} : { watchersPerDomain },
    });
    this.holder.subscribe(({ version }) => fleet.noteInForce(this, version));
    void this.distributor.run(this.#stop.signal);
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

  #tell(other: SimulatedConfigurationDaemon | undefined, bytes: number): void {
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
          other.distributor.handleVersionNotice({ ...this.self, version });
        }
      },
    );
  }
}
