/**
 * The runs of non-repeatable calls on this VM's backend server.
 *
 * Each attempt of a holder at this daemon has a run key of its own. A run key
 * starts at most one run; a resend joins it. Asking about a run key that was
 * not started bars it, so that a message still on its way is refused. After
 * its start limit, a run key is refused and may be forgotten; both are decided
 * by the same steady clock, so nothing depends on the clocks of other VMs.
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

/** Difference allowed between the clocks of two VMs, in milliseconds. */
export const ALLOWED_CLOCK_SKEW_MS = 30_000;

const DEFAULT_BOUNDS: OutcomeTableOptions = {
  maxEntries: 20_000,
  maxAnswerBytes: 4_194_304,
};

/** Names one attempt of a non-repeatable call at one runner. */
export interface RunAttempt {
  readonly runKey: string;
  /** Time since the epoch after which the run must not start. */
  readonly startBeforeMs: number;
}

/** Starts each run key at most once and remembers what became of it. */
export class RunLedger {
  readonly #time: MonotonicWallClock;
  readonly #outcomes: OutcomeTable;

  constructor(clock: Clock, bounds: OutcomeTableOptions = DEFAULT_BOUNDS) {
    this.#time = new MonotonicWallClock(clock);
    this.#outcomes = new OutcomeTable(bounds);
  }

  /** Number of run keys remembered. */
  get size(): number {
    return this.#outcomes.size;
  }

  /** Starts the run of an attempt, or joins it when it was started before. */
  runOnce(
    { runKey, startBeforeMs }: RunAttempt,
    start: () => Promise<CallResult>,
  ): Promise<CallResult> {
    this.#outcomes.removeExpired(this.#time.nowMs());
    const known = this.#outcomes.find(runKey);
    if (known) {
      return known.result;
    }
    if (this.#time.nowMs() > startBeforeMs) {
      return Promise.resolve(err(createRefusal(REASONS.deadlineExpired)));
    }
    if (!this.#hasRoom()) {
      return Promise.resolve(err(createRefusal(REASONS.keyLedgerFull)));
    }
    return this.recordAndStart({ runKey, startBeforeMs }, start);
  }

  /** Tells what became of an attempt; bars it when it was not started. */
  resolve({ runKey, startBeforeMs }: RunAttempt): Promise<CallResult> {
    this.#outcomes.removeExpired(this.#time.nowMs());
    const known = this.#outcomes.find(runKey);
    if (known) {
      return known.result;
    }
    if (this.#time.nowMs() > startBeforeMs || !this.#hasRoom()) {
      return Promise.resolve(err(createUnknownOutcome(REASONS.runForgotten)));
    }
    const barred: CallResult = err(createRefusal(REASONS.notStarted));
    this.#outcomes.add(runKey, {
      expiresAtMs: startBeforeMs,
      result: Promise.resolve(barred),
    });
    return Promise.resolve(barred);
  }

  /** Makes room, if needed, by forgetting refused attempts; barred ones stay. */
  #hasRoom(): boolean {
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

  /** Remembers the attempt, then starts it. */
  protected recordAndStart(
    attempt: RunAttempt,
    start: () => Promise<CallResult>,
  ): Promise<CallResult> {
    const result = Promise.resolve().then(start);
    this.record(attempt, result);
    return result;
  }

  /** Remembers an attempt with its outcome to come. */
  protected record(
    { runKey, startBeforeMs }: RunAttempt,
    result: Promise<CallResult>,
  ): void {
    this.#outcomes.add(runKey, { expiresAtMs: startBeforeMs, result });
  }
}
