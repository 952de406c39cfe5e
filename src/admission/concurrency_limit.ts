/**
 * Adaptive limit of concurrent calls on the backend server.
 *
 * The announced slots are the ceiling. Below it, the limit is learned from what
 * this daemon observes. A full backend server that sheds calls lowers the limit.
 * When calls slow down at full load, a lower limit is tried and kept only if
 * throughput does not drop. A backend server that is merely slow, sheds
 * independently of its load, or has just started keeps its slots: a cold one is
 * only slow, which load balancing takes into account, and after a restart of the
 * whole fleet there are no warm ones.
 */

import type { Clock } from "../time/mod.ts";
import { ShedLimit } from "./shed_limit.ts";

/** Lowest limit from which a lower one is tried; below it, losing one slot would cost too much. */
const MIN_TRIAL_LIMIT = 8;

/**
 * Step to the limit on trial, as a share of the limit: the first one, and the
 * largest. It doubles with each limit that is kept. Backend servers that slow
 * down when nearly full need only a few slots less; each further one is lost
 * capacity.
 */
const MIN_TRIAL_STEP = 0.07;
const MAX_TRIAL_STEP = 0.28;

/** Least difference of a lower limit on trial, in calls; with less, small limits would show hardly any effect. */
const MIN_TRIAL_CALLS = 2;

/** Calls per slot that complete in one measurement period. */
const CALLS_PER_SLOT = 4;

/** Calls in the periods of a trial of a lower limit, and most periods; with few calls, a loss of throughput may not show in one. */
const MIN_TRIAL_SAMPLES = 150;
const MAX_TRIAL_PERIODS = 2;

/** Slowdown, relative to the fastest call, from which another limit is tried. */
const SLOWDOWN_FACTOR = 2;

/** Share of the step by which the throughput may fall at a lower limit. */
const MAX_THROUGHPUT_LOSS = 0.25;

/** Share of the step by which the throughput must rise at a higher limit. */
const MIN_THROUGHPUT_GAIN = 0.5;

/** Bounds of the exponential backoff after failed trials, in milliseconds. */
const INITIAL_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 60_000;

/** A completed call, as input for the limit. */
export interface LimitSample {
  /** Time spent in the backend server itself, without nested calls, in milliseconds. */
  readonly ownDurationMs: number;
  /** Whether the backend server shed the call. */
  readonly isShed: boolean;
  /** Whether calls were waiting for a slot. */
  readonly isSaturated: boolean;
  /** Calls in flight when this one started, including itself. */
  readonly concurrency: number;
  /** Kind of the call; calls of different kinds may take very different times. 0 by default. */
  readonly kind?: number;
}

interface Trial {
  /** Limit before the trial. */
  readonly limit: number;
  /** Throughput before the trial, in calls per millisecond. */
  readonly throughputPerMs: number;
  /** Lowest throughput at which the limit on trial is kept, relative to that before the trial. */
  readonly minThroughputRatio: number;
  /** Periods in which the throughput still has to be that high. */
  readonly periodsLeft: number;
}

interface Period {
  startedAtMs: number;
  calls: number;
  /** Total duration by kind. */
  readonly totalsMs: number[];
}

/** Adapts the concurrency limit to observed sheds, durations and throughput. */
export class ConcurrencyLimit {
  readonly #clock: Clock;
  #ceiling = 1;
  #learned = Number.POSITIVE_INFINITY;
  #shedLimit: ShedLimit;
  #isNextTrialLower = true;
  /** Duration of the fastest call by kind. */
  #minDurationsMs: number[] = [];
  #period: Period | undefined;
  #trial: Trial | undefined;
  #trialStep = MIN_TRIAL_STEP;
  #backoffMs = INITIAL_BACKOFF_MS;
  #nextTrialAtMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#shedLimit = new ShedLimit(clock, this.#ceiling);
  }

  /** Calls that may run concurrently. */
  get value(): number {
    if (this.#ceiling === 0) {
      return 0;
    }
    const learned = Math.min(this.#learned, this.#shedLimit.value);
    return Math.max(1, Math.min(this.#ceiling, Math.floor(learned)));
  }

  /** Sets the announced number of slots; a change resets the limit to it. */
  setCeiling(slots: number): void {
    if (this.#ceiling === slots) {
      return;
    }
    this.#ceiling = slots;
    this.#learned = slots;
    this.#shedLimit = new ShedLimit(this.#clock, slots);
    this.#minDurationsMs = [];
    this.#abandonTrial();
  }

  /** Records a completed call. */
  observe(sample: LimitSample): void {
    if (sample.isShed) {
      this.#shedLimit.recordShed(sample.concurrency);
      return;
    }
    this.#shedLimit.recordAccepted(sample.concurrency);
    const { kind = 0, ownDurationMs } = sample;
    this.#minDurationsMs[kind] = Math.min(
      this.#minDurationsMs[kind] ?? Number.POSITIVE_INFINITY,
      Math.max(1, ownDurationMs),
    );
    if (!sample.isSaturated) {
      this.#abandonTrial();
      return;
    }
    this.#recordDuration(ownDurationMs, kind);
  }

  #recordDuration(ownDurationMs: number, kind: number): void {
    const nowMs = this.#clock.monotonicMs();
    const period = this.#period ??= {
      startedAtMs: nowMs,
      calls: 0,
      totalsMs: [],
    };
    period.calls += 1;
    period.totalsMs[kind] = (period.totalsMs[kind] ?? 0) + ownDurationMs;
    if (period.calls < this.value * CALLS_PER_SLOT) {
      return;
    }
    this.#period = undefined;
    const throughputPerMs = period.calls /
      Math.max(1, nowMs - period.startedAtMs);
    this.#evaluatePeriod(throughputPerMs, this.#computeSlowdown(period));
  }

  /** Computes the mean duration relative to the fastest call of the same kind. */
  #computeSlowdown({ calls, totalsMs }: Period): number {
    return totalsMs.reduce(
      (sum, totalMs, kind) => sum + totalMs / (this.#minDurationsMs[kind] ?? 1),
      0,
    ) / calls;
  }

  #evaluatePeriod(throughputPerMs: number, slowdown: number): void {
    const nowMs = this.#clock.monotonicMs();
    const trial = this.#trial;
    this.#trial = undefined;
    if (
      trial &&
      throughputPerMs < trial.throughputPerMs * trial.minThroughputRatio
    ) {
      this.#learned = trial.limit;
      this.#trialStep = MIN_TRIAL_STEP;
      this.#isNextTrialLower = !this.#isNextTrialLower;
      this.#nextTrialAtMs = nowMs + this.#backoffMs;
      this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
      return;
    }
    if (trial && trial.periodsLeft > 1) {
      this.#trial = { ...trial, periodsLeft: trial.periodsLeft - 1 };
      return;
    }
    if (trial) {
      this.#backoffMs = INITIAL_BACKOFF_MS;
      this.#trialStep = Math.min(MAX_TRIAL_STEP, 2 * this.#trialStep);
    }
    if (slowdown <= SLOWDOWN_FACTOR) {
      this.#trialStep = MIN_TRIAL_STEP;
      this.#learned = Math.min(this.#ceiling, this.#learned + 1);
    } else if (nowMs >= this.#nextTrialAtMs) {
      this.#beginTrial(throughputPerMs);
    }
  }

  /** Slow calls alone do not show which way to adjust, so lower and higher limits are tried in alternation. */
  #beginTrial(throughputPerMs: number): void {
    const limit = this.value;
    const step = this.#trialStep;
    if (this.#isNextTrialLower && limit >= MIN_TRIAL_LIMIT) {
      this.#trial = {
        limit,
        throughputPerMs,
        minThroughputRatio: 1 - step * MAX_THROUGHPUT_LOSS,
        periodsLeft: countTrialPeriods(limit),
      };
      this.#learned = Math.floor(
        Math.min(limit - MIN_TRIAL_CALLS, limit * (1 - step)),
      );
    } else if (limit < this.#ceiling) {
      this.#trial = {
        limit,
        throughputPerMs,
        minThroughputRatio: 1 + step * MIN_THROUGHPUT_GAIN,
        periodsLeft: 1,
      };
      this.#learned = Math.min(this.#ceiling, Math.ceil(limit / (1 - step)));
    } else {
      this.#isNextTrialLower = true;
    }
  }

  #abandonTrial(): void {
    this.#period = undefined;
    if (this.#trial) {
      this.#learned = this.#trial.limit;
      this.#trial = undefined;
    }
  }
}

/** Counts the periods that a lower limit is tried for. */
function countTrialPeriods(limit: number): number {
  const periods = Math.ceil(MIN_TRIAL_SAMPLES / (limit * CALLS_PER_SLOT));
  return Math.min(MAX_TRIAL_PERIODS, periods);
}
