/**
 * Reduces the admit ratios while calls get no slot in time.
 *
 * Calls that expire shorten the queue, so that its length alone shows no
 * overload, while trees of several calls fail after most of them have run. Only
 * nested calls count, since refusing the first call of a request wastes no work.
 */

import type { Waiter } from "./waiting_queue.ts";

/** Time constant of the exponential decay of the counts, in milliseconds. */
const TIME_CONSTANT_MS = 500;

/** Share of late calls up to which nothing is reduced. */
const TOLERATED_RATIO = 0.02;

/** Relative decrease per second and share of late calls; trees take about half a second to show its effect. */
const DECREASE_PER_SECOND = 0.7;

/** Increase per second while hardly any call is late. */
const INCREASE_PER_SECOND = 0.1;

/** Lower bound of the factor. */
const MIN_FACTOR = 0.6;

/** Longest time that one update accounts for, in milliseconds. */
const MAX_STEP_MS = 250;

const MS_PER_SECOND = 1_000;

/** Share of late calls, and the factor that follows from it. */
export class LateCallMeter {
  #arrivals = 0;
  #late = 0;
  #factor = 1;
  #updatedAtMs = 0;

  /** Records a call that starts to wait. */
  recordArrival({ isNested }: Pick<Waiter, "isNested">): void {
    this.#arrivals += Number(isNested);
  }

  /** Records a waiting call that got no slot in time. */
  recordLate({ isNested }: Pick<Waiter, "isNested">): void {
    this.#late += Number(isNested);
  }

  /** Computes the factor for the capacity that entries may use, at most 1. */
  update(nowMs: number): number {
    const ageMs = nowMs - this.#updatedAtMs;
    const stepS = Math.min(MAX_STEP_MS, ageMs) / MS_PER_SECOND;
    this.#updatedAtMs = nowMs;
    const lateRatio = this.#late / Math.max(1, this.#arrivals);
    const change = lateRatio > TOLERATED_RATIO
      ? -lateRatio * DECREASE_PER_SECOND
      : INCREASE_PER_SECOND;
    this.#factor = Math.max(
      MIN_FACTOR,
      Math.min(1, this.#factor * (1 + change * stepS)),
    );
    const weight = Math.exp(-ageMs / TIME_CONSTANT_MS);
    this.#arrivals *= weight;
    this.#late *= weight;
    return this.#factor;
  }
}
