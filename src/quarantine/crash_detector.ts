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

/** Calls of one server process that were broken at about the same time. */
interface BrokenGroup<Call> {
  readonly serverId: string;
  readonly runs: TrackedRun<Call>[];
  readonly sinceMs: number;
  /** Resolves when the server was found ended or running, as far as its port and other calls tell. */
  readonly judged: Promise<void>;
  isJudged: boolean;
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
      const group = this.#joinGroup(run);
      await group.judged;
    }
  }

  /** Records an announcement: one of another process tells that the previous one has ended. */
  observeServer(serverId: string): void {
    const group = this.#group;
    if (!group) {
      return;
    }
    const ageMs = this.#options.clock.monotonicMs() - group.sinceMs;
    if (group.serverId === serverId || ageMs > ANNOUNCEMENT_WAIT_MS) {
      this.#group = undefined;
    } else {
      this.#confirm(group.serverId);
    }
  }

  #joinGroup(run: TrackedRun<Call>): BrokenGroup<Call> {
    const { clock } = this.#options;
    const known = this.#group;
    if (known?.serverId === run.serverId && !known.isJudged) {
      if (known.runs.length < MAX_BROKEN_CALLS) {
        known.runs.push(run);
      }
      return known;
    }
    const { serverId } = run;
    const group: BrokenGroup<Call> = {
      ...{ serverId, runs: [run], sinceMs: clock.monotonicMs() },
      judged: clock.sleep(SETTLE_MS).then(() => this.#judge(group)),
      isJudged: false,
    };
    this.#group = group;
    return group;
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
    group.isJudged = true;
  }

  /** Whether a call that began before the last broken one is still running on the same server. */
  #isStillRunning({ serverId, runs }: BrokenGroup<Call>): boolean {
    const lastOrder = Math.max(...runs.map(({ order }) => order));
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
    const runs = [...group.runs].sort((one, other) => one.order - other.order);
    this.#options.report({ serverId, calls: runs.map(({ call }) => call) });
  }
}
