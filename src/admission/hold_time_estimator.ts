/**
 * Estimates how long calls hold their slots, by exponential moving averages.
 */

import { ClassHoldTime } from "./class_hold_time.ts";
import type { RunningCall } from "./running_calls.ts";

/** Weight of the latest call in the moving average over all classes. */
const LATEST_WEIGHT = 0.2;

/** Estimate before any call has completed, in milliseconds. */
const INITIAL_ESTIMATE_MS = 20;

/** Moving averages of slot hold times, per class and over all classes. */
export class HoldTimeEstimator {
  readonly #classes: (ClassHoldTime | undefined)[] = [];
  #averageMs: number | undefined;

  /** Records the hold time of a completed call, in milliseconds. */
  observe(
    durationMs: number,
    { classRank, isNested }: Pick<RunningCall, "classRank" | "isNested">,
  ): void {
    this.#averageMs = this.#averageMs === undefined
      ? durationMs
      : this.#averageMs + (durationMs - this.#averageMs) * LATEST_WEIGHT;
    const holdTime = this.#classes[classRank] ??= new ClassHoldTime();
    holdTime.observe(durationMs, isNested);
  }

  /**
   * Estimates the hold time over all classes, in milliseconds. Calls that have
   * been running longer than the average raise it, so that a slowdown shows
   * before the first slow call completes.
   *
   * @param meanAgeMs - Mean age of the running calls, in milliseconds
   */
  estimateMs(meanAgeMs: number): number {
    return Math.max(1, this.#averageMs ?? INITIAL_ESTIMATE_MS, meanAgeMs);
  }

  /** Estimates the hold time of one class, in milliseconds. */
  estimateClassMs(classRank: number, meanAgeMs: number): number {
    const averageMs = this.#classes[classRank]?.averageMs;
    return averageMs === undefined
      ? this.estimateMs(meanAgeMs)
      : Math.max(1, averageMs, meanAgeMs);
  }
}
