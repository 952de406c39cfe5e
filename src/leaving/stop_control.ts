/**
 * Decides during a stop which requests are begun, and ends what does not finish
 * in time with a response of the daemon.
 */

import { err } from "neverthrow";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallFailure, CallResult, Refusal } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { StopSchedule } from "./create_stop_schedule.ts";
import { RequestDurations } from "./request_durations.ts";

/** Factor on a measured duration, for requests beyond the quantile and for the way to the instance. */
const DURATION_MARGIN_FACTOR = 1.05;

/** Share of the whole stop that a request of a kind without a measured duration is expected to take. */
const UNMEASURED_RATIO = 0.5;

/** Time before the end of the answers at which nested calls end, in milliseconds, so that the instance can still state it. */
const NESTED_MARGIN_MS = 100;

/** A request that is to be begun or sent once more. */
export interface StopRequest {
  /** Kind whose durations are comparable. */
  readonly kind: string;
  /** Time after which the request ends in any case, in milliseconds: that of its caller or of its route. */
  readonly limitMs: number;
  /** When the whole request had been received, in monotonic milliseconds. */
  readonly receivedAtMs: number;
}

/** Requests of a stop, by what became of them. */
export interface StopCounts extends Record<string, number> {
  /** Refused without having run, since they were not expected to end in time, or had not begun at the end. */
  refused: number;
  /** Answered in time, although they took longer than expected. */
  overran: number;
  /** Begun and not answered in time. */
  cutOff: number;
}

/** Admission and end of requests during a stop; without one, it only measures. */
export class StopControl {
  /** What became of the requests since the stop began. */
  readonly counts: StopCounts = { refused: 0, overran: 0, cutOff: 0 };
  readonly #clock: Clock;
  readonly #durations = new RequestDurations();
  /** Ends a request that is in progress. */
  readonly #cuts = new Set<() => void>();
  #schedule: StopSchedule | undefined;
  #isCutOff = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Begins the stop. */
  begin(schedule: StopSchedule): void {
    this.#schedule = schedule;
  }

  /**
   * Refuses a request that may not end before the answers do; returns nothing if
   * it may begin. An estimate of its duration counts only for requests received
   * early in the stop; later ones have to end by their time limit.
   */
  check({ kind, limitMs, receivedAtMs }: StopRequest): Refusal | undefined {
    const schedule = this.#schedule;
    if (!schedule) {
      return undefined;
    }
    const availableMs = schedule.answersEndAtMs - this.#clock.monotonicMs();
    const neededMs = receivedAtMs <= schedule.estimatesEndAtMs
      ? Math.min(limitMs, this.#expectMs(kind, schedule))
      : limitMs;
    if (neededMs <= availableMs) {
      return undefined;
    }
    this.counts.refused += 1;
    return this.createRefusal();
  }

  /** Computes how long a nested call may take, in milliseconds: beyond the end of the answers, that of its parent reaches nobody. */
  computeNestedLimitMs(): number {
    const endsAtMs = this.#schedule?.answersEndAtMs ?? Number.POSITIVE_INFINITY;
    return endsAtMs - NESTED_MARGIN_MS - this.#clock.monotonicMs();
  }

  /** Creates the refusal of a request that has not begun. Before the end of the stop, a return would find the same daemon. */
  createRefusal(): Refusal {
    const endsAtMs = this.#schedule?.flushEndsAtMs ?? 0;
    const retryAfterMs = Math.max(1, endsAtMs - this.#clock.monotonicMs());
    return createRefusal(REASONS.daemonStopping, { retryAfterMs });
  }

  /** Records how long a request took until its response was sent, in milliseconds, and whether that was longer than expected. */
  record(kind: string, durationMs: number): void {
    const schedule = this.#schedule;
    if (
      schedule && !this.#isCutOff &&
      durationMs > this.#expectMs(kind, schedule)
    ) {
      this.counts.overran += 1;
    }
    this.measure(kind, durationMs);
  }

  /** Records a duration that later requests of a kind are expected to take, in milliseconds. */
  measure(kind: string, durationMs: number): void {
    this.#durations.record(kind, durationMs, this.#clock.monotonicMs());
  }

  /** Waits for a result, or for the end of the answers, at which the request fails. */
  async guard(
    result: Promise<CallResult>,
    createFailure: () => CallFailure,
  ): Promise<CallResult> {
    let cut: () => void = () => undefined;
    const cutOff = new Promise<CallResult>((resolve) => {
      cut = () => {
        const failure = createFailure();
        this.counts[failure.kind === "refused" ? "refused" : "cutOff"] += 1;
        resolve(err(failure));
      };
    });
    if (this.#isCutOff) {
      cut();
    } else {
      this.#cuts.add(cut);
    }
    try {
      return await Promise.race([result, cutOff]);
    } finally {
      this.#cuts.delete(cut);
    }
  }

  /** Ends all requests that are in progress. */
  cutOff(): void {
    this.#isCutOff = true;
    this.#cuts.forEach((cut) => cut());
  }

  #expectMs(kind: string, schedule: StopSchedule): number {
    const measuredMs = this.#durations.estimateMs(
      kind,
      this.#clock.monotonicMs(),
    );
    return measuredMs === undefined
      ? (schedule.answersEndAtMs - schedule.startedAtMs) * UNMEASURED_RATIO
      : measuredMs * DURATION_MARGIN_FACTOR;
  }
}
