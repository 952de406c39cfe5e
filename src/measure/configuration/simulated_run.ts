/**
 * Distributes configuration changes in a fleet of simulated daemons in one process.
 * Injects a store outage, a network partition, and restarts while the store serves
 * stale reads.
 */

import { ConfigurationWriter } from "../../configuration/mod.ts";
import type { Configuration } from "../../generated/types.ts";
import { ConfigurationFleet } from "../../testing/configuration_fleet.ts";
import type { SimulatedConfigurationDaemon } from "../../testing/simulated_configuration_daemon.ts";
import { MemoryObjectStore } from "../../testing/memory_object_store.ts";
import { writeConfiguration } from "../../testing/write_configuration.ts";
import { RandomSource, SystemClock } from "../../time/mod.ts";
import {
  changeRequestDeadline,
  createLargeConfiguration,
} from "./create_large_configuration.ts";

/** Size of the fleet and of the configuration. */
export interface SimulatedRunOptions {
  readonly domainCount: number;
  readonly daemonsPerDomain: number;
  readonly serviceCount: number;
  readonly randomSeed: number;
  /** Daemons per failure domain that watch the object API. */
  readonly watchersPerDomain?: number;
}

/** Average traffic per change without faults. */
export interface ChangeTraffic {
  /** Bytes sent to and received from peers by one daemon. */
  readonly peerBytesPerChange: number;
  /** Bytes exchanged with the store by one watcher. */
  readonly watcherStoreBytesPerChange: number;
  /** Store calls of the whole fleet. */
  readonly storeCallsPerChange: number;
}

/** Accepted configuration change. */
export interface AcceptedChange {
  readonly version: number;
  /** Time of acceptance on the monotonic clock. */
  readonly atMs: number;
  /** Incarnations of the daemons that were running and not partitioned. */
  readonly reachableIncarnations: ReadonlySet<string>;
}

const CHANGES_PER_PHASE = 8;
const CHANGE_INTERVAL_MS = 500;
const SETTLE_MS = 3_000;
const OUTAGE_MS = 6_000;

/** Time between the acceptance of a change and the outage of the store. */
const READ_BEFORE_OUTAGE_MS = 10;

const RESTART_COUNT = 8;
const REGION_COUNT = 4;

/** The only failure domain that can read a change before the outage. */
const FIRST_READING_DOMAIN = "domain-0";
const PARTITIONED_DOMAIN = "domain-1";

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Run of configuration changes and faults in a simulated fleet. */
export class SimulatedRun {
  readonly fleet: ConfigurationFleet;
  readonly acceptedChanges: AcceptedChange[] = [];
  readonly #clock = new SystemClock();
  readonly #store: MemoryObjectStore;
  #configuration: Configuration;

  constructor(options: SimulatedRunOptions) {
    const { daemonsPerDomain, domainCount, randomSeed, serviceCount } = options;
    const { watchersPerDomain } = options;
    this.#configuration = createLargeConfiguration(serviceCount);
    this.fleet = new ConfigurationFleet({
      clock: this.#clock,
      random: new RandomSource(randomSeed),
      domains: Array.from({ length: domainCount }, (_, index) => ({
        name: `domain-${index}`,
        region: `region-${index % REGION_COUNT}`,
      })),
      daemonsPerDomain,
      ...watchersPerDomain === undefined ? {} : { watchersPerDomain },
    });
    this.#store = new MemoryObjectStore({
      table: this.fleet.table,
      clock: this.#clock,
      faults: {
        isDown: false,
        losesResponses: false,
        servesStaleReads: false,
        delayMs: 2,
      },
    });
  }

  /** Writes the initial configuration, starts the fleet and waits until it has settled. */
  async start(): Promise<void> {
    await writeConfiguration(this.#store, this.#configuration);
    this.fleet.start();
    await sleep(2 * SETTLE_MS);
  }

  /** Writes one change to the store and records its acceptance. */
  async writeChange(): Promise<AcceptedChange> {
    const changeNumber = this.acceptedChanges.length + 1;
    this.#configuration = changeRequestDeadline(
      this.#configuration,
      changeNumber,
    );
    const reachableIncarnations = new Set(
      this.fleet.daemons.filter(({ isRunning, self }) =>
        isRunning && !this.fleet.isDomainPartitioned(self.failureDomain)
      ).map(({ self }) => self.incarnation),
    );
    const version = await writeConfiguration(this.#store, this.#configuration);
    const atMs = this.#clock.monotonicMs();
    const accepted = { version, atMs, reachableIncarnations };
    this.acceptedChanges.push(accepted);
    return accepted;
  }

  /** Writes several changes at a fixed interval and waits until the fleet has settled. */
  async writeSeveralChanges(): Promise<void> {
    for (let index = 0; index < CHANGES_PER_PHASE; index += 1) {
      await this.writeChange();
      await sleep(CHANGE_INTERVAL_MS);
    }
    await sleep(SETTLE_MS);
  }

  /** Writes several changes without faults and returns the traffic per change. */
  async measureTraffic(): Promise<ChangeTraffic> {
    const { daemons } = this.fleet;
    const before = sumTraffic(daemons);
    await this.writeSeveralChanges();
    const after = sumTraffic(daemons);
    const watchers = daemons.filter(({ distributor }) => distributor.isWatcher);
    return {
      peerBytesPerChange: (after.peerBytes - before.peerBytes) /
        CHANGES_PER_PHASE / daemons.length,
      watcherStoreBytesPerChange: (after.storeBytes - before.storeBytes) /
        CHANGES_PER_PHASE / watchers.length,
      storeCallsPerChange: (after.storeCalls - before.storeCalls) /
        CHANGES_PER_PHASE,
    };
  }

  /** Writes a change that only one failure domain can read before the store becomes unavailable. */
  async writeChangeBeforeOutage(): Promise<AcceptedChange> {
    this.fleet.setFaults({ isDown: true });
    Object.assign(this.fleet.getFaults(FIRST_READING_DOMAIN), {
      isDown: false,
    });
    await sleep(SETTLE_MS);
    const accepted = await this.writeChange();
    await sleep(READ_BEFORE_OUTAGE_MS);
    this.fleet.setFaults({ isDown: true });
    await sleep(OUTAGE_MS);
    this.fleet.setFaults({ isDown: false });
    return accepted;
  }

  /**
   * Writes changes while one failure domain is partitioned from the store and all
   * other domains. Returns the time from the end of the partition until all daemons
   * of the domain have the last change.
   */
  async measureCatchUpMs(): Promise<number> {
    const faults = this.fleet.getFaults(PARTITIONED_DOMAIN);
    this.fleet.setPartitioned(PARTITIONED_DOMAIN, true);
    faults.isDown = true;
    this.fleet.table.notifyAll();
    await this.writeSeveralChanges();
    const last = this.acceptedChanges.at(-1)?.version ?? 0;
    this.fleet.setPartitioned(PARTITIONED_DOMAIN, false);
    faults.isDown = false;
    const healedAtMs = this.#clock.monotonicMs();
    await sleep(2 * SETTLE_MS);
    const times = this.fleet.daemons.filter(({ self }) =>
      self.failureDomain === PARTITIONED_DOMAIN
    ).map(({ self }) => this.#findActivationMs(self.incarnation, last));
    return Math.max(...times) - healedAtMs;
  }

  /**
   * Restarts daemons while the store serves stale reads. Returns the number of those
   * that became ready with an older version than before, or not at all.
   */
  async countEarlyReadyRestarts(): Promise<number> {
    await this.writeChange();
    await sleep(SETTLE_MS);
    this.fleet.setFaults({ servesStaleReads: true });
    const replaced = this.fleet.daemons.filter((_, index) =>
      index % Math.floor(this.fleet.daemons.length / RESTART_COUNT) === 0
    );
    const before = Math.max(...replaced.map(({ holder }) => holder.version));
    const restarted = replaced.map((daemon) => {
      daemon.kill();
      return this.fleet.restart(daemon);
    });
    const early = await countEarlyReady(restarted, before);
    this.fleet.setFaults({ servesStaleReads: false });
    return early;
  }

  /** Returns the times from acceptance to activation, for each change and each daemon reachable at that time. */
  listActivationMs(changes: readonly AcceptedChange[]): number[] {
    return changes.flatMap(({ atMs, reachableIncarnations, version }) =>
      [...reachableIncarnations].map((incarnation) =>
        Math.max(0, this.#findActivationMs(incarnation, version) - atMs)
      )
    );
  }

  /** Counts the changes missing from the stored history and the daemons without the last change. */
  async countLostChanges(): Promise<number> {
    const writer = new ConfigurationWriter({
      store: this.#store,
      clock: this.#clock,
      random: new RandomSource(1),
      outcomeTimeoutMs: SETTLE_MS,
    });
    const accepted = (await writer.readAccepted())._unsafeUnwrap();
    const last = this.acceptedChanges.at(-1)?.version ?? 0;
    const listed = accepted && await writer.history.listChanges(accepted.head, {
      aboveVersion: 0,
      limit: last,
    });
    const behind = this.fleet.daemons.filter(({ holder }) =>
      holder.version !== last || holder.digest !== this.fleet.events.at(-1)
          ?.digest
    );
    const found = listed?._unsafeUnwrap().length ?? 0;
    return last - found + behind.length;
  }

  #findActivationMs(incarnation: string, version: number): number {
    return this.fleet.events.find((event) =>
      event.incarnation === incarnation && event.version >= version
    )?.atMs ?? Infinity;
  }
}

async function countEarlyReady(
  restarted: readonly SimulatedConfigurationDaemon[],
  version: number,
): Promise<number> {
  const early = new Set<SimulatedConfigurationDaemon>();
  const endsAtMs = performance.now() + 2 * SETTLE_MS;
  while (performance.now() < endsAtMs) {
    restarted.filter(({ holder, distributor }) =>
      distributor.isConfirmed && holder.version < version
    ).forEach((daemon) => early.add(daemon));
    await sleep(READ_BEFORE_OUTAGE_MS);
  }
  const unready = restarted.filter(({ distributor }) =>
    !distributor.isConfirmed
  );
  return early.size + unready.length;
}

function sumTraffic(daemons: readonly SimulatedConfigurationDaemon[]) {
  return daemons.reduce(
    (sum, { peerBytes, store }) => ({
      peerBytes: sum.peerBytes + peerBytes,
      storeBytes: sum.storeBytes + store.traffic.bytes,
      storeCalls: sum.storeCalls + store.traffic.calls,
    }),
    { peerBytes: 0, storeBytes: 0, storeCalls: 0 },
  );
}
