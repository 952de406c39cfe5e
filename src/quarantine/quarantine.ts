/**
 * Quarantine of requests that crash the backend servers which run them.
 *
 * A request is quarantined when servers have ended under it several times with
 * no clean run in between. It is then refused by every daemon until the crashes
 * have expired, or an operator releases it. While no request is suspected, calls
 * are not hashed.
 */

import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import {
  CrashTable,
  NO_RETRY_CRASHES,
  QUARANTINE_CRASHES,
} from "./crash_table.ts";
import type { Crash, Suspect } from "./crash_table.ts";
import { readTargetHash } from "./fingerprinter.ts";
import type { Fingerprinter } from "./fingerprinter.ts";
import { RecentRuns } from "./recent_runs.ts";
import type { IdentifiedCall } from "./request_identity.ts";
import type { CleanRunNotice, RequestNotice } from "./request_notice.ts";

/** Maximum number of requests that one crash is held against. */
const MAX_FINGERPRINTS = 64;

/** Interval at which expired crashes are removed, in milliseconds. */
const CLEANUP_INTERVAL_MS = 5_000;

/** A backend server of this VM that ended, and the calls that it ran, in the order in which they began. */
export interface ObservedCrash extends Omit<Crash, "atMs" | "callCount"> {
  readonly calls: readonly IdentifiedCall[];
}

/** A request whose quarantine begins or ends. */
export interface QuarantineChange extends Suspect {
  /** Whether it ends because this daemon saw a clean run or an operator asked it. */
  readonly isClearedHere: boolean;
}

/** Called for each change. */
export type QuarantineListener = (change: QuarantineChange) => void;

/** Dependencies of a {@link Quarantine}. */
export interface QuarantineOptions {
  readonly clock: Clock;
  readonly fingerprinter: Fingerprinter;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
  /** Sends a notice to all other daemons. */
  readonly publish: (notice: RequestNotice) => void;
}

/** Decides which requests are refused because they crash backend servers. */
export class Quarantine {
  readonly #options: QuarantineOptions;
  readonly #table = new CrashTable();
  readonly #recentRuns: RecentRuns;
  /** First parts of the fingerprints in the table. */
  readonly #targets = new Set<string>();
  readonly #quarantined = new Set<string>();
  readonly #listeners = new Set<QuarantineListener>();
  #nextCleanupAtMs = 0;

  constructor(options: QuarantineOptions) {
    this.#options = options;
    this.#recentRuns = new RecentRuns(options.fingerprinter);
  }

  /** Returns a refusal if the request of a call is quarantined. */
  check(call: IdentifiedCall): Refusal | undefined {
    const fingerprint = this.#findFingerprint(call);
    const nowMs = this.#options.clock.nowMs();
    const endMs = fingerprint === undefined
      ? undefined
      : this.#table.findQuarantineEndMs(fingerprint, nowMs);
    return endMs === undefined ? undefined : createRefusal(
      REASONS.quarantined,
      { retryAfterMs: Math.ceil(endMs - nowMs) },
    );
  }

  /** Whether so many servers have ended under the request of a call that it is not to be sent to another one at once. */
  deniesRetry(call: IdentifiedCall): boolean {
    const fingerprint = this.#findFingerprint(call);
    return fingerprint !== undefined &&
      this.#countCrashes(fingerprint) >= NO_RETRY_CRASHES;
  }

  /** Records a call that the backend server of this VM answered. */
  recordCleanRun(call: IdentifiedCall): void {
    const atMs = this.#options.clock.nowMs();
    this.#recentRuns.add(call, atMs);
    const fingerprint = this.#findFingerprint(call);
    if (
      fingerprint !== undefined &&
      this.#countCrashes(fingerprint) >= NO_RETRY_CRASHES
    ) {
      this.#publishCleanRun(fingerprint, atMs);
    }
  }

  /** Records the end of the backend server of this VM under calls; returns their fingerprints. */
  recordCrash({ calls, ...crash }: ObservedCrash): string[] {
    const { clock, fingerprinter, publish } = this.#options;
    const all = calls.map((call) => fingerprinter.compute(call));
    const notice = {
      ...crash,
      kind: "crash" as const,
      fingerprints: this.#selectFingerprints(all),
      atMs: Math.round(clock.nowMs()),
      callCount: calls.length,
    };
    publish(notice);
    this.receive(notice);
    return all;
  }

  /** Records a notice, which may be known. */
  receive(notice: RequestNotice): void {
    const nowMs = this.#options.clock.nowMs();
    const atMs = Math.min(notice.atMs, nowMs);
    if (notice.kind === "clean-run") {
      this.#table.addCleanRun(notice.fingerprint, atMs);
      this.#followChange(notice.fingerprint);
      return;
    }
    const { fingerprints, processId, vmAddress, service, callCount } = notice;
    const crash = { processId, vmAddress, service, atMs, callCount };
    for (const fingerprint of fingerprints) {
      if (this.#table.addCrash(fingerprint, crash)) {
        this.#targets.add(readTargetHash(fingerprint));
        this.#followCrash(fingerprint);
      }
    }
  }

  /** Releases a request, on behalf of an operator. Returns whether it was quarantined. */
  release(fingerprint: string): boolean {
    const wasQuarantined = this.#quarantined.has(fingerprint);
    if (!this.#table.has(fingerprint)) {
      return false;
    }
    this.#publishCleanRun(fingerprint, this.#options.clock.nowMs());
    return wasQuarantined;
  }

  /** Calls `listener` when a quarantine begins or ends. */
  onChange(listener: QuarantineListener): void {
    this.#listeners.add(listener);
  }

  /** Whether servers have ended under a request, quarantined or not. */
  knows(fingerprint: string): boolean {
    return this.#table.has(fingerprint);
  }

  /** Lists the requests that are quarantined. */
  list(): Suspect[] {
    return this.#table.list(QUARANTINE_CRASHES, this.#options.clock.nowMs());
  }

  /** Forgets what has expired; called periodically. */
  removeExpired(): void {
    const { clock } = this.#options;
    const nowMs = clock.monotonicMs();
    if (this.#table.size === 0 || nowMs < this.#nextCleanupAtMs) {
      return;
    }
    this.#nextCleanupAtMs = nowMs + CLEANUP_INTERVAL_MS;
    this.#table.removeExpired(clock.nowMs());
    this.#targets.clear();
    for (const fingerprint of this.#table.fingerprints) {
      this.#targets.add(readTargetHash(fingerprint));
    }
    this.#quarantined.forEach((fingerprint) => this.#followChange(fingerprint));
  }

  /** Returns the fingerprint of a call if servers have ended under its request. */
  #findFingerprint(call: IdentifiedCall): string | undefined {
    if (this.#targets.size === 0) {
      return undefined;
    }
    const { fingerprinter } = this.#options;
    const targetHash = fingerprinter.hashTarget(call);
    return this.#targets.has(targetHash)
      ? fingerprinter.complete(targetHash, call)
      : undefined;
  }

  #countCrashes(fingerprint: string): number {
    return this.#table.listCrashes(fingerprint, this.#options.clock.nowMs())
      .length;
  }

  /** Selects known suspects first, then the calls that began last, since a crash follows soon on its cause. */
  #selectFingerprints(all: readonly string[]): string[] {
    const latestFirst = [...new Set([...all].reverse())];
    return latestFirst
      .sort((one, other) => this.#countCrashes(other) - this.#countCrashes(one))
      .slice(0, MAX_FINGERPRINTS);
  }

  #followCrash(fingerprint: string): void {
    const cleanAtMs = this.#countCrashes(fingerprint) >= NO_RETRY_CRASHES
      ? this.#recentRuns.findLatestMs(fingerprint)
      : undefined;
    if (cleanAtMs !== undefined) {
      this.#publishCleanRun(fingerprint, cleanAtMs);
    }
    this.#followChange(fingerprint);
  }

  #publishCleanRun(fingerprint: string, atMs: number): void {
    const notice: CleanRunNotice = {
      ...{ kind: "clean-run", fingerprint },
      atMs: Math.round(atMs),
    };
    this.#table.addCleanRun(fingerprint, notice.atMs);
    this.#followChange(fingerprint, true);
    this.#options.publish(notice);
  }

  /** Logs the begin and the end of a quarantine, and notifies the listeners. */
  #followChange(fingerprint: string, isClearedHere = false): void {
    const { clock, journal, metrics } = this.#options;
    const nowMs = clock.nowMs();
    const crashes = this.#table.listCrashes(fingerprint, nowMs);
    const isQuarantined = crashes.length >= QUARANTINE_CRASHES;
    if (isQuarantined === this.#quarantined.has(fingerprint)) {
      return;
    }
    if (isQuarantined) {
      this.#quarantined.add(fingerprint);
    } else {
      this.#quarantined.delete(fingerprint);
    }
    metrics.quarantinedRequests.set(this.#quarantined.size);
    journal.record(
      isQuarantined ? DECISIONS.requestQuarantined : DECISIONS.requestReleased,
      {
        fingerprint,
        service: crashes[0]?.service ?? "",
        crashes: crashes.length,
        vms: crashes.map(({ vmAddress }) => vmAddress).join(),
        processes: crashes.map(({ processId }) => processId).join(),
        agesMs: crashes.map(({ atMs }) => Math.round(nowMs - atMs)).join(),
      },
    );
    this.#listeners.forEach((listener) =>
      listener({ fingerprint, crashes, isClearedHere })
    );
  }
}
