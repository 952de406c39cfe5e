/**
 * The learnt limit of calls that run on the backend server at once.
 *
 * Announced slots are the ceiling. Below it the limit is learnt from what this
 * daemon sees itself: sheds of a full backend server lower it, and where calls
 * slow down under a full load, a lower limit is tried and kept only if the
 * throughput does not suffer. A backend server that is merely slow therefore
 * keeps its slots, and so do one that sheds whatever its load and one that has
 * just started: what a cold one lacks is speed, which the choice of instances
 * weighs, and after a restart of everything there are no others.
 */

import type { Clock } from "../time/mod.ts";
import { ShedLimit } from "./shed_limit.ts";

/** Limits below this are not tried lower: one slot less would cost too much. */
const MIN_TRIED_LIMIT = 8;
const TRY_FACTOR = 0.85;

/** Calls that end in one trial, for each slot. */
const CALLS_PER_SLOT = 4;

/** Slowdown of calls from which a lower limit is tried. */
const SLOW_FACTOR = 2;

/** Share of the throughput that a lower limit has to keep. */
const KEPT_THROUGHPUT_RATIO = 0.95;

/** Share of the throughput that a higher limit has to reach. */
const RAISED_THROUGHPUT_RATIO = 1.05;

const FIRST_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 60_000;

/** How a call ended, as far as the limit is concerned. */
export interface LimitSample {
  /** Time that the backend server itself took, without deeper calls. */
  readonly ownDurationMs: number;
  /** Whether the backend server refused the call as too much. */
  readonly isShed: boolean;
  /** Whether calls were waiting for a slot. */
  readonly isSaturated: boolean;
  /** Calls that ran when this one began, itself included. */
  readonly concurrency: number;
}

interface Trial {
  /** Limit before the trial. */
  readonly limit: number;
  /** Throughput before the trial, in calls per millisecond. */
  readonly perMs: number;
  /** Share of that throughput from which the tried limit is kept. */
  readonly keptRatio: number;
}

interface Period {
  startedAtMs: number;
  calls: number;
  totalMs: number;
}

/** Learns the limit. */
export class ConcurrencyLimit {
  readonly #clock: Clock;
  #ceiling = 1;
  #learnt = Number.POSITIVE_INFINITY;
  #shedLimit: ShedLimit;
  #isLowerNext = true;
  #bestMs = Number.POSITIVE_INFINITY;
  #period: Period | undefined;
  #trial: Trial | undefined;
  #pauseMs = FIRST_PAUSE_MS;
  #pausedUntilMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#shedLimit = new ShedLimit(clock, this.#ceiling);
  }

  /** Calls that may run at once. */
  get value(): number {
    if (this.#ceiling === 0) {
      return 0;
    }
    const learnt = Math.min(this.#learnt, this.#shedLimit.value);
    return Math.max(1, Math.min(this.#ceiling, Math.floor(learnt)));
  }

  /** Takes the announced slots. */
  setCeiling(slots: number): void {
    if (this.#ceiling === slots) {
      return;
    }
    this.#ceiling = slots;
    this.#learnt = slots;
    this.#shedLimit = new ShedLimit(this.#clock, slots);
    this.#bestMs = Number.POSITIVE_INFINITY;
    this.#forgetTrial();
  }

  /** A call has ended. */
  observe(sample: LimitSample): void {
    if (sample.isShed) {
      this.#shedLimit.noteShed(sample.concurrency);
      return;
    }
    this.#shedLimit.noteTaken(sample.concurrency);
    this.#bestMs = Math.min(this.#bestMs, Math.max(1, sample.ownDurationMs));
    if (!sample.isSaturated) {
      this.#forgetTrial();
      return;
    }
    this.#count(sample.ownDurationMs);
  }

  #count(ownDurationMs: number): void {
    const nowMs = this.#clock.monotonicMs();
    const period = this.#period ??= {
      startedAtMs: nowMs,
      calls: 0,
      totalMs: 0,
    };
    period.calls += 1;
    period.totalMs += ownDurationMs;
    if (period.calls < this.value * CALLS_PER_SLOT) {
      return;
    }
    this.#period = undefined;
    const perMs = period.calls / Math.max(1, nowMs - period.startedAtMs);
    this.#judge(perMs, period.totalMs / period.calls);
  }

  #judge(perMs: number, meanMs: number): void {
    const nowMs = this.#clock.monotonicMs();
    const trial = this.#trial;
    this.#trial = undefined;
    if (trial && perMs < trial.perMs * trial.keptRatio) {
      this.#learnt = trial.limit;
      this.#isLowerNext = !this.#isLowerNext;
      this.#pausedUntilMs = nowMs + this.#pauseMs;
      this.#pauseMs = Math.min(MAX_PAUSE_MS, this.#pauseMs * 2);
      return;
    }
    if (trial) {
      this.#pauseMs = FIRST_PAUSE_MS;
    }
    if (meanMs <= this.#bestMs * SLOW_FACTOR) {
      this.#learnt = Math.min(this.#ceiling, this.#learnt + 1);
    } else if (nowMs >= this.#pausedUntilMs) {
      this.#beginTrial(perMs);
    }
  }

  /** Slow calls tell nothing by themselves, so that lower and higher limits are tried by turns. */
  #beginTrial(perMs: number): void {
    const limit = this.value;
    if (this.#isLowerNext && limit >= MIN_TRIED_LIMIT) {
      this.#trial = { limit, perMs, keptRatio: KEPT_THROUGHPUT_RATIO };
      this.#learnt = Math.floor(limit * TRY_FACTOR);
    } else if (limit < this.#ceiling) {
      this.#trial = { limit, perMs, keptRatio: RAISED_THROUGHPUT_RATIO };
      this.#learnt = Math.min(this.#ceiling, Math.ceil(limit / TRY_FACTOR));
    } else {
      this.#isLowerNext = true;
    }
  }

  #forgetTrial(): void {
    this.#period = undefined;
    if (this.#trial) {
      this.#learnt = this.#trial.limit;
      this.#trial = undefined;
    }
  }
}
