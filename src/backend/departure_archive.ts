/**
 * Copy of the departures of one VM's backend servers in the object store.
 *
 * That a server has left binds for as long as its late announcements may arrive,
 * also if all daemons that know of it end. A daemon reads the object of its VM at
 * its start, and writes it before it confirms a departure. There is one object for
 * each VM, so that daemons do not compete for it and nothing has to be removed.
 */

import { MAX_START_AHEAD_MS } from "../constants/mod.ts";
import { NO_VERSION, repeatCall } from "../store/mod.ts";
import type { ObjectStore, StoredObject } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import type { BackendRegistry } from "./backend_registry.ts";
import { DepartureList } from "./departure_list.ts";
import type { Departure } from "./departure_list.ts";

/** Kind of the objects, which are named after the addresses of the VMs. */
const STORE_KIND = "departures";

/** Maximum length of an instance id, as in announcements. */
const MAX_ID_LENGTH = 128;

/** Longest delay before a failed call is repeated, in milliseconds; the first announcement is held back until the object is read. */
const MAX_DELAY_MS = 5_000;

/** Writes in a row that may fail because another writer was faster, before there is a delay. */
const MAX_CONFLICTS = 3;

/** Dependencies of a {@link DepartureArchive}. */
export interface DepartureArchiveOptions {
  readonly store: ObjectStore;
  readonly backend: BackendRegistry;
  /** Address of the VM. */
  readonly address: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
}

/** Reads and writes the departures. */
export class DepartureArchive {
  readonly #options: DepartureArchiveOptions;
  /** Content of the object, as far as it is known. */
  #stored = new DepartureList();
  #version = NO_VERSION;
  /** Era of the store in which the content was read; a store that returns from a copy may lack it. */
  #era: number | undefined;
  #saving: Promise<void> | undefined;
  #isStopped = false;

  constructor(options: DepartureArchiveOptions) {
    this.#options = options;
    options.backend.subscribe(() => this.#save());
  }

  /** Reads the departures that earlier processes confirmed; repeats it until the store answers or {@link stop} is called. */
  async load(): Promise<void> {
    const { backend } = this.#options;
    backend.awaitDepartures();
    await this.#repeat(() => this.#read());
    if (this.#isKnown) {
      backend.receiveDepartures(this.#stored.list());
    }
  }

  /** Waits until all departures that are known are stored, at most for a time in milliseconds. */
  async waitUntilStored(maxWaitMs: number): Promise<void> {
    this.#save();
    let cancel: () => void = () => undefined;
    const timeout = new Promise<void>((resolve) => {
      cancel = this.#options.clock.schedule(maxWaitMs, resolve);
    });
    await Promise.race([this.#saving, timeout]);
    cancel();
  }

  /** Ends all waiting. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Whether the content of the object is known. */
  get #isKnown(): boolean {
    return this.#era === this.#options.store.era;
  }

  #save(): void {
    if (this.#listUnstored().length > 0) {
      this.#saving ??= this.#repeat(() => this.#write())
        .then(() => this.#saving = undefined);
    }
  }

  #listUnstored(): Departure[] {
    const { departures } = this.#options.backend;
    return departures.filter((each) =>
      !this.#isKnown || !this.#stored.covers(each)
    );
  }

  /** Reads the object; returns the failure, if there was one. */
  async #read(): Promise<string | undefined> {
    const { address, store } = this.#options;
    const stored = await store.read(`${STORE_KIND}/${address}`);
    if (stored.isErr()) {
      return stored.error.message;
    }
    this.#receive(stored.value);
    return undefined;
  }

  /** Adds the departures that the object lacks; returns the failure, if there was one. */
  async #write(): Promise<string | undefined> {
    const { address, log, store } = this.#options;
    let conflicts = 0;
    for (;;) {
      const failure = this.#isKnown ? undefined : await this.#read();
      if (failure !== undefined) {
        return failure;
      }
      const missing = this.#listUnstored();
      if (missing.length === 0) {
        return undefined;
      }
      const next = new DepartureList();
      [...this.#stored.list(), ...missing].forEach((each) => next.add(each));
      const servers = next.list();
      const written = await store.write(
        `${STORE_KIND}/${address}`,
        { servers },
        this.#version,
      );
      if (written.isOk()) {
        this.#stored = next;
        this.#version = written.value;
        log.info({ servers: servers.length }, "departure-stored");
        continue;
      }
      const { kind, message } = written.error;
      // What the object contains is known again once it is read.
      this.#era = undefined;
      conflicts += 1;
      if (kind !== "conflict" || conflicts > MAX_CONFLICTS) {
        return message;
      }
    }
  }

  #receive(object: StoredObject | undefined): void {
    this.#era = this.#options.store.era;
    this.#version = object?.version ?? NO_VERSION;
    this.#stored = new DepartureList();
    const latestStartMs = this.#options.clock.nowMs() + MAX_START_AHEAD_MS;
    readDepartures(object?.value)
      .filter(({ startedAtMs }) => startedAtMs <= latestStartMs)
      .forEach((each) => this.#stored.add(each));
  }

  #repeat(call: () => Promise<string | undefined>): Promise<void> {
    const { clock, log, random } = this.#options;
    return repeatCall(call, {
      ...{ clock, random, maxDelayMs: MAX_DELAY_MS },
      reportFailure: (error, waitMs) =>
        log.info({ error, waitMs }, "departure-archive-failed"),
      isStopped: () => this.#isStopped,
    });
  }
}

/** Reads the departures of an object; entries that another writer has spoilt are left out. */
function readDepartures(value: unknown): Departure[] {
  const servers = (value as { servers?: unknown } | undefined | null)?.servers;
  return Array.isArray(servers) ? servers.filter(isDeparture) : [];
}

function isDeparture(value: unknown): value is Departure {
  const { instanceId, startedAtMs, includesEarlier } = (value ?? {}) as Partial<
    Departure
  >;
  return typeof instanceId === "string" &&
    instanceId.length > 0 && instanceId.length <= MAX_ID_LENGTH &&
    Number.isSafeInteger(startedAtMs) && (startedAtMs as number) >= 0 &&
    (includesEarlier === undefined || typeof includesEarlier === "boolean");
}
