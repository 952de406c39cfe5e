/**
 * Changes to a fleet of light daemons in one process, with an outage of the
 * store, a partition and restarts next to a store that answers from the past.
 */

import { ConfigurationWriter } from "../../configuration/mod.ts";
import type { Configuration } from "../../generated/types.ts";
import { ConfigurationFleet } from "../../testing/configuration_fleet.ts";
import type { SimulatedConfigurationDaemon } from "../../testing/simulated_configuration_daemon.ts";
import { MemoryObjectStore } from "../../testing/memory_object_store.ts";
import { writeConfiguration } from "../../testing/write_configuration.ts";
import { RandomSource, SystemClock } from "../../time/mod.ts";
import {
  changeOneRequest,
  createLargeConfiguration,
} from "./create_large_configuration.ts";

/** Size of a run. */
export interface LightRunOptions {
  readonly domainCount: number;
  readonly daemonsPerDomain: number;
  readonly serviceCount: number;
  readonly randomSeed: number;
  /** Daemons of a failure domain that watch the object API. */
  readonly watchersPerDomain?: number;
}

/** What changes cost while nothing is wrong. */
export interface ChangeTraffic {
  /** Of one daemon. */
  readonly peerBytesPerChange: number;
  /** Of one watcher. */
  readonly watcherStoreBytesPerChange: number;
  /** Of the fleet. */
  readonly storeCallsPerChange: number;
}

/** A change that was accepted. */
export interface Acceptance {
  readonly version: number;
  readonly atMs: number;
  readonly reachable: ReadonlySet<string>;
}

const CHANGES_PER_PHASE = 8;
const CHANGE_INTERVAL_MS = 500;
const SETTLE_MS = 3_000;
const OUTAGE_MS = 6_000;
const SEEN_BEFORE_OUTAGE_MS = 10;
const RESTARTS = 8;
const REGION_COUNT = 4;
const FIRST_DOMAIN = "domain-0";
const CUT_DOMAIN = "domain-1";

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** One run over a light fleet. */
export class LightRun {
  readonly fleet: ConfigurationFleet;
  readonly acceptances: Acceptance[] = [];
  readonly #clock = new SystemClock();
  readonly #store: MemoryObjectStore;
  #configuration: Configuration;

  constructor(options: LightRunOptions) {
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

  /** Starts the fleet with a first configuration. */
  async start(): Promise<void> {
    await writeConfiguration(this.#store, this.#configuration);
    this.fleet.start();
    await sleep(2 * SETTLE_MS);
  }

  /** Has one change accepted. */
  async change(): Promise<Acceptance> {
    const number = this.acceptances.length + 1;
    this.#configuration = changeOneRequest(this.#configuration, number);
    const reachable = new Set(
      this.fleet.daemons.filter(({ isRunning, self }) =>
        isRunning && !this.fleet.isDomainPartitioned(self.failureDomain)
      ).map(({ self }) => self.incarnation),
    );
    const version = await writeConfiguration(this.#store, this.#configuration);
    const atMs = this.#clock.monotonicMs();
    const acceptance = { version, atMs, reachable };
    this.acceptances.push(acceptance);
    return acceptance;
  }

  /** Has several changes accepted, one after the other. */
  async changeSeveral(): Promise<void> {
    for (let index = 0; index < CHANGES_PER_PHASE; index += 1) {
      await this.change();
      await sleep(CHANGE_INTERVAL_MS);
    }
    await sleep(SETTLE_MS);
  }

  /** Changes while nothing is wrong; gives what they cost. */
  async measureTraffic(): Promise<ChangeTraffic> {
    const { daemons } = this.fleet;
    const before = sumTraffic(daemons);
    await this.changeSeveral();
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

  /** A change that only one failure domain can read before the store is gone. */
  async changeBeforeOutage(): Promise<Acceptance> {
    this.fleet.setFaults({ isDown: true });
    Object.assign(this.fleet.getFaults(FIRST_DOMAIN), { isDown: false });
    await sleep(SETTLE_MS);
    const acceptance = await this.change();
    await sleep(SEEN_BEFORE_OUTAGE_MS);
    this.fleet.setFaults({ isDown: true });
    await sleep(OUTAGE_MS);
    this.fleet.setFaults({ isDown: false });
    return acceptance;
  }

  /** Changes while a failure domain is cut off from the store and all others; gives the catch-up time. */
  async changeDuringPartition(): Promise<number> {
    const faults = this.fleet.getFaults(CUT_DOMAIN);
    this.fleet.setPartitioned(CUT_DOMAIN, true);
    faults.isDown = true;
    this.fleet.table.notifyAll();
    await this.changeSeveral();
    const last = this.acceptances.at(-1)?.version ?? 0;
    this.fleet.setPartitioned(CUT_DOMAIN, false);
    faults.isDown = false;
    const healedAtMs = this.#clock.monotonicMs();
    await sleep(2 * SETTLE_MS);
    const times = this.fleet.daemons.filter(({ self }) =>
      self.failureDomain === CUT_DOMAIN
    ).map(({ self }) => this.#findInForceMs(self.incarnation, last));
    return Math.max(...times) - healedAtMs;
  }

  /** Restarts daemons while the store answers from the past; counts those ready too early. */
  async restartDuringStaleness(): Promise<number> {
    await this.change();
    await sleep(SETTLE_MS);
    this.fleet.setFaults({ servesStaleReads: true });
    const old = this.fleet.daemons.filter((_, index) =>
      index % Math.floor(this.fleet.daemons.length / RESTARTS) === 0
    );
    const before = Math.max(...old.map(({ holder }) => holder.version));
    const restarted = old.map((daemon) => {
      daemon.kill();
      return this.fleet.restart(daemon);
    });
    const early = await countEarlyReady(restarted, before);
    this.fleet.setFaults({ servesStaleReads: false });
    return early;
  }

  /** Times from acceptance to force, of each change at each daemon that could be reached. */
  listInForceMs(acceptances: readonly Acceptance[]): number[] {
    return acceptances.flatMap(({ atMs, reachable, version }) =>
      [...reachable].map((incarnation) =>
        Math.max(0, this.#findInForceMs(incarnation, version) - atMs)
      )
    );
  }

  /** Counts changes missing from the history and daemons without the last one. */
  async countLostChanges(): Promise<number> {
    const writer = new ConfigurationWriter({
      store: this.#store,
      clock: this.#clock,
      random: new RandomSource(1),
      outcomeTimeoutMs: SETTLE_MS,
    });
    const accepted = (await writer.readAccepted())._unsafeUnwrap();
    const last = this.acceptances.at(-1)?.version ?? 0;
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

  #findInForceMs(incarnation: string, version: number): number {
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
    await sleep(SEEN_BEFORE_OUTAGE_MS);
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
