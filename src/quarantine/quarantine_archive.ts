/**
 * Copy of the quarantined requests in the object store, for the case that all
 * daemons that know of them end.
 *
 * A daemon reads it once after its start. It is written by the daemon beside the
 * server whose end led to the quarantine, and by the one that learns that a
 * request is free again. Everything works without it while the store is away.
 */

import { isDeepStrictEqual } from "node:util";
import type { MemberRecord } from "../generated/types.ts";
import { NO_VERSION, repeatCall } from "../store/mod.ts";
import type { ObjectStore } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { CRASH_RETENTION_MS } from "./crash_table.ts";
import type { Crash, Suspect } from "./crash_table.ts";
import type { Quarantine } from "./quarantine.ts";

/** Key of the object. */
const STORE_KEY = "quarantine/requests";

/** Maximum number of requests in the object; beyond it, the one whose latest crash is the oldest is left out. */
const MAX_REQUESTS = 64;

/** Longest time by which a crash may lie ahead of this VM's clock, in milliseconds; later ones would never expire. */
const MAX_CLOCK_DIFFERENCE_MS = 60_000;

/** Longest wait before the object is read after the start, so that not all daemons of a fleet read at once, in milliseconds. */
const MAX_FIRST_WAIT_MS = 300;

/** Dependencies of a {@link QuarantineArchive}. */
export interface QuarantineArchiveOptions {
  readonly store: ObjectStore;
  readonly quarantine: Quarantine;
  /** Record of this daemon. */
  readonly self: Pick<MemberRecord, "address">;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
}

/** Reads and writes the quarantined requests. */
export class QuarantineArchive {
  readonly #options: QuarantineArchiveOptions;
  #isSaving = false;
  #hasChanges = false;
  #isStopped = false;

  constructor(options: QuarantineArchiveOptions) {
    this.#options = options;
    const { quarantine, self } = options;
    quarantine.onChange(({ crashes, isClearedHere }) => {
      if (isClearedHere || crashes.at(-1)?.vmAddress === self.address) {
        this.#hasChanges = true;
        void this.#save();
      }
    });
  }

  /** Reads the requests; repeats it until the store answers or {@link stop} is called. */
  async load(): Promise<void> {
    const { clock, quarantine, random, store } = this.#options;
    await clock.sleep(MAX_FIRST_WAIT_MS * random.nextFloat());
    await this.#repeat(async () => {
      const stored = await store.read(STORE_KEY);
      if (stored.isErr()) {
        return stored.error.message;
      }
      for (const suspect of this.#readSuspects(stored.value?.value)) {
        const fingerprints = [suspect.fingerprint];
        suspect.crashes.forEach((crash) =>
          quarantine.receive({ kind: "crash", ...crash, fingerprints })
        );
      }
      return undefined;
    });
  }

  /** Ends all waiting. */
  stop(): void {
    this.#isStopped = true;
  }

  async #save(): Promise<void> {
    if (this.#isSaving) {
      return;
    }
    this.#isSaving = true;
    while (this.#hasChanges && !this.#isStopped) {
      this.#hasChanges = false;
      await this.#repeat(() => this.#write());
    }
    this.#isSaving = false;
  }

  /** Brings the object up to date; returns the failure, if there was one. */
  async #write(): Promise<string | undefined> {
    const { store } = this.#options;
    const stored = await store.read(STORE_KEY);
    if (stored.isErr()) {
      return stored.error.message;
    }
    const known = this.#readSuspects(stored.value?.value);
    const next = this.#merge(known);
    if (isDeepStrictEqual(next, known)) {
      return undefined;
    }
    const written = await store.write(
      STORE_KEY,
      { requests: next },
      stored.value?.version ?? NO_VERSION,
    );
    return written.isOk() ? undefined : written.error.message;
  }

  /** Reads the requests of an object; one that another writer has spoilt names none. */
  #readSuspects(value: unknown): Suspect[] {
    const requests = (value as { requests?: unknown } | undefined)?.requests;
    const latestMs = this.#options.clock.nowMs() + MAX_CLOCK_DIFFERENCE_MS;
    return Array.isArray(requests)
      ? requests.filter(isSuspect).filter(({ crashes }) =>
        crashes.every(({ atMs }) => atMs <= latestMs)
      )
      : [];
  }

  /** Replaces what this daemon knows better, and leaves out what has expired. */
  #merge(stored: readonly Suspect[]): Suspect[] {
    const { clock, quarantine } = this.#options;
    const nowMs = clock.nowMs();
    const byFingerprint = new Map(
      stored.filter(({ fingerprint }) => !quarantine.knows(fingerprint))
        .concat(quarantine.list())
        .map((suspect) => [suspect.fingerprint, suspect]),
    );
    return [...byFingerprint.values()]
      .filter((suspect) => readLatestMs(suspect) > nowMs - CRASH_RETENTION_MS)
      .sort((one, other) => readLatestMs(other) - readLatestMs(one))
      .slice(0, MAX_REQUESTS);
  }

  #repeat(call: () => Promise<string | undefined>): Promise<void> {
    const { clock, log, random } = this.#options;
    return repeatCall(call, {
      ...{ clock, random },
      reportFailure: (error, waitMs) =>
        log.info({ error, waitMs }, "quarantine-archive-failed"),
      isStopped: () => this.#isStopped,
    });
  }
}

function readLatestMs({ crashes }: Suspect): number {
  return crashes.at(-1)?.atMs ?? 0;
}

function isSuspect(value: unknown): value is Suspect {
  const { fingerprint, crashes } = (value ?? {}) as Partial<Suspect>;
  return typeof fingerprint === "string" && Array.isArray(crashes) &&
    crashes.every(isCrash);
}

function isCrash(value: unknown): value is Crash {
  const { processId, vmAddress, service, atMs, callCount } =
    (value ?? {}) as Partial<Crash>;
  return typeof processId === "string" && typeof vmAddress === "string" &&
    typeof service === "string" && Number.isSafeInteger(atMs) &&
    Number.isSafeInteger(callCount);
}
