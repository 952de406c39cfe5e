/**
 * What a daemon knows of requests under which backend servers ended.
 *
 * The knowledge only grows by union: each crash counts once for each request,
 * whichever way and however often it is learnt, and of clean runs only the
 * latest counts. Daemons that have received the same notices in any order
 * therefore come to the same conclusions.
 */

/** Number of crashes after which a request is quarantined. */
export const QUARANTINE_CRASHES = 3;

/** Number of crashes from which a call is not retried after its server ended. */
export const NO_RETRY_CRASHES = 2;

/** Time for which a crash counts, in milliseconds. */
export const CRASH_RETENTION_MS = 600_000;

/**
 * Time after a clean run in which crashes are not held against a request, in
 * milliseconds. A request that runs often and cleanly is thus not blamed if many
 * servers end at once for another reason.
 */
const CLEAN_RUN_VALIDITY_MS = 1_000;

/** Maximum number of requests that are remembered; beyond it, the one whose latest crash is the oldest is forgotten. */
const MAX_SUSPECTS = 4_096;

/** Maximum number of crashes remembered of one request. */
const MAX_CRASHES = 16;

/** A backend server that ended while it ran a request. */
export interface Crash {
  /** Identifies the process of the server; contains none of `!`, `/` and `@`. */
  readonly processId: string;
  /** IP address of the VM. */
  readonly vmAddress: string;
  readonly service: string;
  /** Time of the end, in milliseconds since the epoch. */
  readonly atMs: number;
  /** Number of calls that ran on the server. */
  readonly callCount: number;
}

/** A request under which servers ended. */
export interface Suspect {
  readonly fingerprint: string;
  /** Crashes since the latest clean run, oldest first. */
  readonly crashes: readonly Crash[];
}

interface Entry {
  readonly crashes: Map<string, Crash>;
  /** Time of the latest clean run, in milliseconds since the epoch. */
  cleanAtMs: number;
}

/** Crashes and clean runs by request. */
export class CrashTable {
  readonly #entries = new Map<string, Entry>();

  /** Number of requests that are remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /** Requests that are remembered. */
  get fingerprints(): Iterable<string> {
    return this.#entries.keys();
  }

  /** Whether a request is remembered. */
  has(fingerprint: string): boolean {
    return this.#entries.has(fingerprint);
  }

  /** Adds a crash. Returns whether it was not known. */
  addCrash(fingerprint: string, crash: Crash): boolean {
    const entry = this.#entries.get(fingerprint) ??
      { crashes: new Map(), cleanAtMs: Number.NEGATIVE_INFINITY };
    if (entry.crashes.has(crash.processId)) {
      return false;
    }
    entry.crashes.set(crash.processId, crash);
    if (entry.crashes.size > MAX_CRASHES) {
      const [oldest] = sortByTime(entry.crashes);
      entry.crashes.delete(oldest?.processId ?? "");
    }
    this.#entries.delete(fingerprint);
    this.#entries.set(fingerprint, entry);
    const [first = ""] = this.#entries.keys();
    if (this.#entries.size > MAX_SUSPECTS) {
      this.#entries.delete(first);
    }
    return true;
  }

  /** Adds a clean run of a request that is remembered. */
  addCleanRun(fingerprint: string, atMs: number): void {
    const entry = this.#entries.get(fingerprint);
    if (entry) {
      entry.cleanAtMs = Math.max(entry.cleanAtMs, atMs);
    }
  }

  /** Lists the crashes that are held against a request, oldest first. */
  listCrashes(fingerprint: string, nowMs: number): readonly Crash[] {
    const entry = this.#entries.get(fingerprint);
    return entry
      ? sortByTime(entry.crashes).filter(({ atMs }) =>
        atMs > entry.cleanAtMs + CLEAN_RUN_VALIDITY_MS &&
        atMs > nowMs - CRASH_RETENTION_MS
      )
      : [];
  }

  /** Returns when the quarantine of a request ends, in milliseconds since the epoch, or undefined if it is not quarantined. */
  findQuarantineEndMs(fingerprint: string, nowMs: number): number | undefined {
    const crash = this.listCrashes(fingerprint, nowMs).at(-QUARANTINE_CRASHES);
    return crash && crash.atMs + CRASH_RETENTION_MS;
  }

  /** Lists the requests that have at least a number of crashes held against them. */
  list(minCrashes: number, nowMs: number): Suspect[] {
    return [...this.#entries.keys()]
      .map((fingerprint) => ({
        fingerprint,
        crashes: this.listCrashes(fingerprint, nowMs),
      }))
      .filter(({ crashes }) => crashes.length >= minCrashes);
  }

  /** Forgets requests whose crashes no longer count. */
  removeExpired(nowMs: number): void {
    for (const [fingerprint, { crashes }] of this.#entries) {
      const latestMs = sortByTime(crashes).at(-1)?.atMs ?? 0;
      if (latestMs <= nowMs - CRASH_RETENTION_MS) {
        this.#entries.delete(fingerprint);
      }
    }
  }
}

function sortByTime(crashes: ReadonlyMap<string, Crash>): Crash[] {
  return [...crashes.values()].sort((one, other) => one.atMs - other.atMs);
}
