/**
 * Simulated daemon for tests of configuration distribution: the real distributor
 * with in-memory store access, gossip and peer connections.
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
import {
  createCallLimits,
  createStoreTiming,
  DEFAULT_CONTACT_MS,
  RateLimitedObjectStore,
} from "../store/mod.ts";
import { LinkedObjectStore } from "./linked_object_store.ts";
import { MemoryObjectStore } from "./memory_object_store.ts";

/** Interval at which each daemon exchanges its version with a random peer, in milliseconds. */
const GOSSIP_INTERVAL_MS = 1_000;

/** Number of peers that are notified of a new version immediately. */
const ANNOUNCE_FANOUT = 3;

/** Size of a version that is piggybacked on a probe, in bytes. */
const GOSSIP_VERSION_BYTES = 8;

/** Size of a datagram that announces a version, including IP and UDP headers, in bytes. */
const ANNOUNCEMENT_BYTES = 300;

/** Bytes to open, handshake and close a connection, including IP and TCP headers. */
const CONNECTION_BYTES = 1_000;

/** Timeout of a fetch from an unreachable peer, in milliseconds. */
const FETCH_TIMEOUT_MS = 3_000;

/** The configuration distribution of one daemon. */
export class SimulatedConfigurationDaemon extends ConfigurationPeers {
  override readonly self: MemberRecord;
  readonly holder: ConfigurationHolder;
  readonly distributor: ConfigurationDistributor;
  /** The store client; one with connections if the fleet has store timeouts. */
  readonly store: MemoryObjectStore | LinkedObjectStore;
  /** The store under the limit of calls that all components of a daemon share. */
  readonly limitedStore: RateLimitedObjectStore;
  readonly journal: DecisionJournal;
  /** Configuration traffic with peers, sent and received, in bytes. */
  peerBytes = 0;
  isRunning = true;
  /** Monotonic time at which the process was killed, in milliseconds. */
  killedAtMs: number | undefined;
  /** Whether the process is paused: it sends nothing, and fetches from it get no answer. */
  isPaused = false;
  readonly #fleet: ConfigurationFleet;
  readonly #stopController = new AbortController();
  readonly #stopGossip: () => void;

  constructor(fleet: ConfigurationFleet, self: MemberRecord) {
    super();
    const { clock, createHolder, random, watchersPerDomain } = fleet.options;
    this.#fleet = fleet;
    this.self = self;
    this.holder = createHolder?.() ?? new ConfigurationHolder();
    const faults = fleet.getFaults(self.failureDomain);
    const { storeTiming: timing } = fleet.options;
    const storeOptions = { table: fleet.table, clock, faults };
    this.store = timing
      ? new LinkedObjectStore({ ...storeOptions, timing })
      : new MemoryObjectStore(storeOptions);
    this.limitedStore = new RateLimitedObjectStore({
      ...{ store: this.store, clock },
      ...createCallLimits(timing ?? createStoreTiming(DEFAULT_CONTACT_MS)),
    });
    this.journal = new DecisionJournal(clock);
    this.distributor = new ConfigurationDistributor({
      source: new StoredConfigurationSource(
        new ConfigurationReader(timing ? this.limitedStore : this.store),
      ),
      holder: this.holder,
      peers: this,
      clock,
      random,
      log: createSilentLogger(),
      journal: this.journal,
      ...watchersPerDomain === undefined ? {} : { watchersPerDomain },
      ...timing && { watchTimeoutMs: timing.watchTimeoutMs },
    });
    this.holder.subscribe(({ version }) =>
      fleet.recordActivation(this, version)
    );
    void this.distributor.run(this.#stopController.signal);
    this.#stopGossip = clock.scheduleEvery(
      GOSSIP_INTERVAL_MS + random.nextInteger(GOSSIP_INTERVAL_MS / 10),
      () => this.#gossip(),
    );
  }

  override listLive(): readonly MemberRecord[] {
    return this.#fleet.listLiveRecords(this);
  }

  override announce(): void {
    for (let count = 0; count < ANNOUNCE_FANOUT; count += 1) {
      this.#sendVersion(
        this.#fleet.chooseReachablePeer(this),
        ANNOUNCEMENT_BYTES,
      );
    }
  }

  override async fetch(
    peer: VersionNotice,
    knownVersion: number,
  ): Promise<Result<Uint8Array, VError>> {
    const { clock } = this.#fleet.options;
    const target = this.#fleet.findRunningDaemon(peer.incarnation);
    if (
      !target || target.isPaused || this.#fleet.isPartitioned(this, target)
    ) {
      await clock.sleep(FETCH_TIMEOUT_MS);
      return err(
        new VError(
          { name: "ConfigurationFetchFailed" },
          "the peer is unreachable",
        ),
      );
    }
    await clock.sleep(2 * this.#fleet.getLatencyMs(this, target));
    const bytes = createConfigurationTransfer(target.holder, knownVersion);
    target.peerBytes += bytes.length + CONNECTION_BYTES;
    this.peerBytes += bytes.length + CONNECTION_BYTES;
    await clock.sleep(this.#fleet.getLatencyMs(this, target));
    return ok(bytes);
  }

  /** The store client, if its connections can be silenced. */
  get linkedStore(): LinkedObjectStore | undefined {
    return this.store instanceof LinkedObjectStore ? this.store : undefined;
  }

  /** Kills the process. */
  kill(): void {
    this.isRunning = false;
    this.killedAtMs ??= this.#fleet.options.clock.monotonicMs();
    this.#stopController.abort();
    this.#stopGossip();
  }

  #gossip(): void {
    const peer = this.#fleet.chooseReachablePeer(this);
    this.#sendVersion(peer, GOSSIP_VERSION_BYTES);
    if (peer) {
      peer.#sendVersion(this, GOSSIP_VERSION_BYTES);
    }
  }

  #sendVersion(
    peer: SimulatedConfigurationDaemon | undefined,
    bytes: number,
  ): void {
    if (
      !peer || !this.isRunning || this.isPaused ||
      this.#fleet.isPartitioned(this, peer)
    ) {
      return;
    }
    const { version } = this.holder;
    this.peerBytes += bytes;
    peer.peerBytes += bytes;
    this.#fleet.options.clock.schedule(
      this.#fleet.getLatencyMs(this, peer),
      () => {
        if (peer.isRunning) {
          peer.distributor.handleVersionNotice({ ...this.self, version });
        }
      },
    );
  }
}
