/**
 * Which calls hold slots of the backend server, and for how long calls do.
 */

import type { Clock } from "../time/mod.ts";
import { HoldTime } from "./hold_time.ts";
import { RunningCalls } from "./running_calls.ts";
import type { RunningCall } from "./running_calls.ts";

/** Slots in use and the times for which they are held. */
export class SlotUse {
  readonly running = new RunningCalls();
  readonly #clock: Clock;
  readonly #holdTime = new HoldTime();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Time for which a call holds its slot, in milliseconds. */
  get holdMs(): number {
    const meanAgeMs = this.running.computeMeanAgeMs(this.#clock.monotonicMs());
    return this.#holdTime.estimateMs(meanAgeMs);
  }

  /** Time for which a call of one class holds its slot, in milliseconds. */
  estimateHoldMs(classRank: number): number {
    const meanAgeMs = this.running.computeClassMeanAgeMs(
      classRank,
      this.#clock.monotonicMs(),
    );
    return this.#holdTime.estimateClassMs(classRank, meanAgeMs);
  }

  /** A call takes a slot. */
  begin(classRank: number): RunningCall {
    const call = { classRank, startedAtMs: this.#clock.monotonicMs() };
    this.running.add(call);
    return call;
  }

  /** A call gives its slot back; what was not answered tells nothing about time. */
  end(
    call: RunningCall,
    use: { readonly durationMs: number; readonly isAnswered: boolean },
  ): void {
    this.running.remove(call);
    if (use.isAnswered) {
      this.#holdTime.observe(use.durationMs, call.classRank);
    }
  }
}
