/**
 * Ledger of the runs of non-repeatable calls on this VM's backend server.
 *
 * Each attempt of a key holder at this daemon has its own run key, which starts
 * at most one run; resent messages join it. Querying a run key that has not
 * started blocks it, so that a message still in transit is refused. After its
 * start deadline, a run key is refused and its entry may be removed. Both use the
 * same monotonic clock, so at-most-once execution does not depend on the
 * clocks of other VMs.
 */

import { err } from "neverthrow";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import { OutcomeTable } from "./outcome_table.ts";
import type { OutcomeTableOptions } from "./outcome_table.ts";
import { MonotonicWallClock } from "./monotonic_wall_clock.ts";

/** Maximum supported clock skew between two VMs, in milliseconds. */
export const ALLOWED_CLOCK_SKEW_MS = 30_000;

const DEFAULT_BOUNDS: OutcomeTableOptions = {
  maxEntries: 20_000,
  maxAnswerBytes: 4_194_304,
};

/** Identifies an attempt of a non-repeatable call at the daemon that runs it. */
export interface RunAttempt {
  readonly runKey: string;
  /** Deadline for starting the run, in milliseconds since the epoch. */
  readonly startBeforeMs: number;
}

/** Starts the run of each run key at most once and records its outcome. */
export class RunLedger {
  readonly #time: MonotonicWallClock;
  readonly #outcomes: OutcomeTable;

  constructor(clock: Clock, bounds: OutcomeTableOptions = DEFAULT_BOUNDS) {
    this.#time = new MonotonicWallClock(clock);
    this.#outcomes = new OutcomeTable(bounds);
  }

  /** Number of run keys in the ledger. */
  get size(): number {
    return this.#outcomes.size;
  }

  /** Starts the run of an attempt, or joins it if it was started before; refused after the deadline or if the ledger is full. */
  runOnce(
    { runKey, startBeforeMs }: RunAttempt,
    start: () => Promise<CallResult>,
  ): Promise<CallResult> {
    this.#outcomes.removeExpired(this.#time.nowMs());
    const stored = this.#outcomes.find(runKey);
    if (stored) {
      return stored.result;
    }
    if (this.#time.nowMs() > startBeforeMs) {
      return Promise.resolve(err(createRefusal(REASONS.deadlineExpired)));
    }
    if (!this.#ensureCapacity()) {
      return Promise.resolve(err(createRefusal(REASONS.keyLedgerFull)));
    }
    return this.recordAndStart({ runKey, startBeforeMs }, start);
  }

  /** Returns the outcome of an attempt; blocks it if it has not started. If it is not recorded, the outcome is unknown after the start deadline or if the ledger is full. */
  resolve({ runKey, startBeforeMs }: RunAttempt): Promise<CallResult> {
    this.#outcomes.removeExpired(this.#time.nowMs());
    const stored = this.#outcomes.find(runKey);
    if (stored) {
      return stored.result;
    }
    if (this.#time.nowMs() > startBeforeMs || !this.#ensureCapacity()) {
      return Promise.resolve(err(createUnknownOutcome(REASONS.runForgotten)));
    }
    const blocked: CallResult = err(createRefusal(REASONS.notStarted));
    this.#outcomes.add(runKey, {
      expiresAtMs: startBeforeMs,
      result: Promise.resolve(blocked),
    });
    return Promise.resolve(blocked);
  }

  /** Whether a run key can be added. Removes refused attempts if needed, but never blocked ones. */
  #ensureCapacity(): boolean {
    if (this.#outcomes.hasCapacity()) {
      return true;
    }
    for (const [runKey, { settled }] of this.#outcomes.list()) {
      const failure = settled?.isErr() ? settled.error : undefined;
      if (
        failure?.kind === "refused" && failure.reason !== REASONS.notStarted
      ) {
        this.#outcomes.remove(runKey);
      }
    }
    return this.#outcomes.hasCapacity();
  }

  /** Records the attempt before starting it, so that it cannot run twice. */
  protected recordAndStart(
    attempt: RunAttempt,
    start: () => Promise<CallResult>,
  ): Promise<CallResult> {
    const result = Promise.resolve().then(start);
    this.record(attempt, result);
    return result;
  }

  /** Records an attempt whose outcome is pending. */
  protected record(
    { runKey, startBeforeMs }: RunAttempt,
    result: Promise<CallResult>,
  ): void {
    this.#outcomes.add(runKey, { expiresAtMs: startBeforeMs, result });
  }
}
