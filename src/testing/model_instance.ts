/**
 * How long the work of a call takes on a modelled instance at a time.
 */

import { RandomSource } from "../time/mod.ts";
import type { ManualClock } from "./manual_clock.ts";

/** Random periods in which an instance is slower, as beside other work on its VM. */
export interface SlowPeriods {
  /** Share of the periods that are slow. */
  readonly ratio: number;
  readonly slowdown: number;
  readonly periodMs: number;
}

/** What the time of a call depends on, besides the call. */
export interface InstanceConditions {
  /** Relative to the stated work times; 1 by default. */
  readonly speed?: number;
  readonly slots: number;
  readonly slowPeriods?: SlowPeriods;
  /** Slowdown of the calls that start while this share of the slots is in use. */
  readonly saturation?: { readonly ratio: number; readonly slowdown: number };
}

/** Tells how slow an instance is. */
export class ModelInstance {
  readonly #conditions: InstanceConditions;
  readonly #clock: ManualClock;
  readonly #random: RandomSource;
  #running = 0;
  #periodEndsAtMs = 0;
  #isSlowPeriod = false;

  constructor(
    conditions: InstanceConditions,
    { clock, seed }: { readonly clock: ManualClock; readonly seed: number },
  ) {
    this.#conditions = conditions;
    this.#clock = clock;
    this.#random = new RandomSource(seed);
  }

  /** Speed relative to the stated work times. */
  get speed(): number {
    return this.#conditions.speed ?? 1;
  }

  /** Occupies a slot, and returns the factor by which the work of the call is longer than stated. */
  begin(): number {
    this.#running += 1;
    const { saturation, slots } = this.#conditions;
    const isSaturated = saturation !== undefined &&
      this.#running >= slots * saturation.ratio;
    return this.#readPeriodSlowdown() *
      (isSaturated ? saturation.slowdown : 1) / this.speed;
  }

  /** Frees the slot of a call. */
  end(): void {
    this.#running -= 1;
  }

  #readPeriodSlowdown(): number {
    const { slowPeriods } = this.#conditions;
    if (!slowPeriods) {
      return 1;
    }
    const nowMs = this.#clock.monotonicMs();
    if (nowMs >= this.#periodEndsAtMs) {
      const { periodMs, ratio } = slowPeriods;
      this.#periodEndsAtMs = nowMs + periodMs;
      this.#isSlowPeriod = this.#random.nextFloat() < ratio;
    }
    return this.#isSlowPeriod ? slowPeriods.slowdown : 1;
  }
}
