/**
 * Detection of a backend server that ended while it ran calls.
 *
 * A single broken connection does not tell that the server ended: it may have
 * been reset, or the server may have broken off one response. If the server
 * ended, all its connections end at about the same time, and its port refuses
 * connections until the next process listens. That process announces itself
 * with another id, which tells the end of the previous one if it listened before
 * its port was probed.
 */

import type { ConnectionBreak, PortState } from "../backend/mod.ts";
import type { Clock } from "../time/mod.ts";

/** Time after a broken connection until the others of an ended server are broken as well, in milliseconds. */
const SETTLE_MS = 10;

/** Maximum number of such periods to wait while calls are still running. */
const MAX_SETTLE_PERIODS = 3;

/** Time within which the next process announces itself, in milliseconds; later, the broken calls are not its predecessor's end. */
const ANNOUNCEMENT_WAIT_MS = 15_000;

/** Maximum number of broken calls that are remembered until it is known whether the server ended. */
const MAX_BROKEN_CALLS = 256;

/** A call that the backend server runs. */
export interface TrackedRun<Call> {
  readonly call: Call;
  readonly serverId: string;
  /** Number of calls that began before this one. */
  readonly order: number;
}

/** A backend server that ended while it ran calls. */
export interface ServerCrash<Call> {
  readonly serverId: string;
  /** Calls that were running, in the order in which they began. */
  readonly calls: readonly Call[];
}

/** Dependencies of a {@link CrashDetector}. */
export interface CrashDetectorOptions<Call> {
  readonly clock: Clock;
  /** Connects to the port of the backend server and closes the connection. */
  readonly probePort: () => Promise<PortState>;
  /** Called once for each server that ended while it ran calls. */
  readonly report: (crash: ServerCrash<Call>) => void;
}

/** A call that was broken, and when. */
interface BrokenRun<Call> {
  readonly run: TrackedRun<Call>;
  readonly atMs: number;
}

/** Broken calls of one server process. */
interface BrokenGroup<Call> {
  readonly serverId: string;
  readonly runs: BrokenRun<Call>[];
  /** Resolves when the server was found ended or running, as far as its port and other calls tell; undefined once that is done. */
  judgement: Promise<void> | undefined;
}

/** Tracks the running calls of the backend server on this VM. */
export class CrashDetector<Call> {
  readonly #options: CrashDetectorOptions<Call>;
  readonly #running = new Set<TrackedRun<Call>>();
  #group: BrokenGroup<Call> | undefined;
  #nextOrder = 0;

  constructor(options: CrashDetectorOptions<Call>) {
    this.#options = options;
  }

  /** Records that a call starts to run. */
  begin(serverId: string, call: Call): TrackedRun<Call> {
    const run = { serverId, call, order: this.#nextOrder };
    this.#nextOrder += 1;
    this.#running.add(run);
    return run;
  }

  /**
   * Records the end of a run, and how its connection failed if it did. For a
   * broken one, the promise resolves when it is known whether the server ended,
   * or that its next announcement has to tell.
   */
  async finish(
    run: TrackedRun<Call>,
    connectionBreak?: ConnectionBreak,
  ): Promise<void> {
    this.#running.delete(run);
    if (connectionBreak === "refused") {
      this.#confirm(run.serverId);
    } else if (connectionBreak === "broken") {
      await this.#judgeLater(this.#joinGroup(run));
    }
  }

  /** Records an announcement: one of another process tells that the previous one has ended. */
  observeServer(serverId: string): void {
    const group = this.#group;
    if (group?.serverId === serverId) {
      this.#group = undefined;
    } else if (group) {
      this.#confirm(group.serverId);
    }
  }

  #joinGroup(run: TrackedRun<Call>): BrokenGroup<Call> {
    const { serverId } = run;
    const group: BrokenGroup<Call> = this.#group?.serverId === serverId
      ? this.#group
      : { serverId, runs: [], judgement: undefined };
    this.#group = group;
    if (group.runs.length < MAX_BROKEN_CALLS) {
      group.runs.push({ run, atMs: this.#options.clock.monotonicMs() });
    }
    return group;
  }

  #judgeLater(group: BrokenGroup<Call>): Promise<void> {
    const { clock } = this.#options;
    group.judgement ??= clock.sleep(SETTLE_MS).then(() => this.#judge(group));
    return group.judgement;
  }

  async #judge(group: BrokenGroup<Call>): Promise<void> {
    const { clock, probePort } = this.#options;
    for (
      let period = 1;
      period < MAX_SETTLE_PERIODS && this.#isStillRunning(group);
      period += 1
    ) {
      await clock.sleep(SETTLE_MS);
    }
    if (!this.#isStillRunning(group) && await probePort() === "refused") {
      this.#confirm(group.serverId);
    }
    group.judgement = undefined;
  }

  /** Whether a call that began before the last broken one is still running on the same server. */
  #isStillRunning({ serverId, runs }: BrokenGroup<Call>): boolean {
    const lastOrder = Math.max(...runs.map(({ run }) => run.order));
    return [...this.#running].some((run) =>
      run.serverId === serverId && run.order < lastOrder
    );
  }

  #confirm(serverId: string): void {
    const group = this.#group;
    if (group?.serverId !== serverId) {
      return;
    }
    this.#group = undefined;
    const sinceMs = this.#options.clock.monotonicMs() - ANNOUNCEMENT_WAIT_MS;
    const runs = group.runs.filter(({ atMs }) => atMs >= sinceMs)
      .map(({ run }) => run)
      .sort((one, other) => one.order - other.order);
    if (runs.length > 0) {
      this.#options.report({ serverId, calls: runs.map(({ call }) => call) });
    }
  }
}
