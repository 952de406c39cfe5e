/**
 * Tracks the calls that hold slots of the backend server and their hold times.
 */

import type { Clock } from "../time/mod.ts";
import { HoldTimeEstimator } from "./hold_time_estimator.ts";
import { RunningCalls } from "./running_calls.ts";
import type { RunningCall } from "./running_calls.ts";

/** Slots in use and estimates of their hold times. */
export class SlotTracker {
  readonly running = new RunningCalls();
  readonly #clock: Clock;
  readonly #holdTime = new HoldTimeEstimator();
  readonly #usualHoldTime = new HoldTimeEstimator();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Expected slot hold time of a call, in milliseconds. */
  get holdMs(): number {
    const meanAgeMs = this.running.computeMeanAgeMs(this.#clock.monotonicMs());
    return this.#holdTime.estimateMs(meanAgeMs);
  }

  /** Slot hold time of a call on a VM that is as fast as usual, in milliseconds. */
  get usualHoldMs(): number {
    return this.#usualHoldTime.estimateMs(0);
  }

  /** Estimates the slot hold time of a call of one class, in milliseconds. */
  estimateHoldMs(classRank: number): number {
    const meanAgeMs = this.running.computeClassMeanAgeMs(
      classRank,
      this.#clock.monotonicMs(),
    );
    return this.#holdTime.estimateClassMs(classRank, meanAgeMs);
  }

  /** Occupies a slot for a call. */
  begin(call: Pick<RunningCall, "classRank" | "isNested">): RunningCall {
    const running = { ...call, startedAtMs: this.#clock.monotonicMs() };
    this.running.add(running);
    return running;
  }

  /** Frees the slot of a call; unanswered calls do not count towards hold times. */
  end(
    call: RunningCall,
    completion: {
      readonly durationMs: number;
      readonly isAnswered: boolean;
      /** Momentary slowness of the VM at the end of the call; 1 if it is not stated. */
      readonly slownessRatio: number;
    },
  ): void {
    this.running.remove(call);
    if (completion.isAnswered) {
      const { durationMs, slownessRatio } = completion;
      this.#holdTime.observe(durationMs, call);
      this.#usualHoldTime.observe(durationMs / slownessRatio, call);
    }
  }
}
