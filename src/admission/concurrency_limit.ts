/**
 * The learnt limit of calls that run on the backend server at once.
 *
 * Announced slots are the ceiling. Below it the limit is learnt from what this
 * daemon sees itself: sheds of the backend server lower it, and where calls
 * slow down under a full load, a lower limit is tried and kept only if the
 * throughput does not suffer. A backend server that is merely slow therefore
 * keeps its slots.
 */

import type { Clock } from "../time/mod.ts";

/** Share of the ceiling that a cold backend server starts with. */
const COLD_RATIO = 0.25;

/** Factor for a shed of the backend server. */
const SHED_FACTOR = 0.9;

/** Least time between two reactions to sheds, in milliseconds. */
const SHED_INTERVAL_MS = 100;

/** Limits below this are not tried lower: one slot less would cost too much. */
const MIN_TRIED_LIMIT = 8;
const TRY_FACTOR = 0.85;

/** Calls that end in one trial, for each slot. */
const CALLS_PER_SLOT = 4;

/** Slowdown of calls from which a lower limit is tried. */
const SLOW_FACTOR = 2;

/** Share of the throughput that a lower limit has to keep. */
const KEPT_THROUGHPUT_RATIO = 0.95;

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
  #coldAtMs = 0;
  #warmAtMs = 0;
  #shedAtMs = Number.NEGATIVE_INFINITY;
  #bestMs = Number.POSITIVE_INFINITY;
  #period: Period | undefined;
  #trial: { readonly limit: number; readonly perMs: number } | undefined;
  #pauseMs = FIRST_PAUSE_MS;
  #pausedUntilMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls that may run at once. */
  get value(): number {
    if (this.#ceiling === 0) {
      return 0;
    }
    const warm = Math.max(1, Math.floor(this.#ceiling * this.#warmth()));
    return Math.max(1, Math.min(warm, Math.floor(this.#learnt)));
  }

  /** Takes the announced slots and the time at which they are fully usable. */
  setCeiling(slots: number, warmAtMs: number): void {
    const isNew = this.#ceiling !== slots || this.#warmAtMs !== warmAtMs;
    if (!isNew) {
      return;
    }
    this.#ceiling = slots;
    this.#warmAtMs = warmAtMs;
    this.#coldAtMs = this.#clock.nowMs();
    this.#learnt = slots;
    this.#bestMs = Number.POSITIVE_INFINITY;
    this.#forgetTrial();
  }

  /** A call has ended. */
  observe(sample: LimitSample): void {
    if (sample.isShed) {
      this.#lowerAfterShed();
      return;
    }
    this.#bestMs = Math.min(this.#bestMs, Math.max(1, sample.ownDurationMs));
    if (!sample.isSaturated) {
      this.#forgetTrial();
      return;
    }
    this.#count(sample.ownDurationMs);
  }

  #warmth(): number {
    const leftMs = this.#warmAtMs - this.#clock.nowMs();
    if (leftMs <= 0) {
      return 1;
    }
    const wholeMs = Math.max(1, this.#warmAtMs - this.#coldAtMs);
    return COLD_RATIO + (1 - COLD_RATIO) * Math.max(0, 1 - leftMs / wholeMs);
  }

  #lowerAfterShed(): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#shedAtMs < SHED_INTERVAL_MS) {
      return;
    }
    this.#shedAtMs = nowMs;
    this.#learnt = Math.max(1, this.value * SHED_FACTOR);
    this.#forgetTrial();
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
    if (this.#trial && perMs < this.#trial.perMs * KEPT_THROUGHPUT_RATIO) {
      this.#learnt = this.#trial.limit;
      this.#trial = undefined;
      this.#pausedUntilMs = nowMs + this.#pauseMs;
      this.#pauseMs = Math.min(MAX_PAUSE_MS, this.#pauseMs * 2);
      return;
    }
    const isKept = this.#trial !== undefined;
    this.#trial = undefined;
    if (isKept) {
      this.#pauseMs = FIRST_PAUSE_MS;
    }
    const limit = this.value;
    const isSlow = meanMs > this.#bestMs * SLOW_FACTOR;
    if (isSlow && limit >= MIN_TRIED_LIMIT && nowMs >= this.#pausedUntilMs) {
      this.#trial = { limit, perMs };
      this.#learnt = Math.floor(limit * TRY_FACTOR);
    } else if (!isSlow) {
      this.#learnt = Math.min(this.#ceiling, this.#learnt + 1);
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
