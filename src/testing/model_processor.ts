/**
 * The processor of a modelled daemon, which does one thing at a time.
 */

import { LoopLoad } from "../event_loop/mod.ts";
import type { ProcessorLoad } from "../event_loop/mod.ts";
import type { ManualClock } from "./manual_clock.ts";

/** Interval at which a daemon measures the load of its event loop, in milliseconds. */
const TICK_MS = 50;

/** Processor time that a daemon needs, in milliseconds. */
export interface ProcessorCosts {
  /** For a call that it runs on its backend server. */
  readonly runMs: number;
  /** For a nested call that it passes on for its backend server. */
  readonly nestedCallMs: number;
}

/** Serves tasks in the order in which they arrive. */
export class ModelProcessor implements ProcessorLoad {
  readonly #clock: ManualClock;
  readonly #startedAtMs: number;
  readonly #load: LoopLoad;
  #busyUntilMs: number;
  #takenMs = 0;

  constructor(clock: ManualClock) {
    this.#clock = clock;
    this.#startedAtMs = clock.monotonicMs();
    this.#busyUntilMs = this.#startedAtMs;
    this.#load = new LoopLoad(() => this.#readTimes());
    clock.scheduleEvery(TICK_MS, () => this.#load.record(this.#backlogMs));
  }

  get utilization(): number {
    return this.#load.utilization;
  }

  get delayMs(): number {
    return this.#load.delayMs;
  }

  get isSaturated(): boolean {
    return this.#load.isSaturated;
  }

  /** Resolves when a task that arrives now is done. */
  use(durationMs: number): Promise<void> {
    const nowMs = this.#clock.monotonicMs();
    this.#takenMs += durationMs;
    this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + durationMs;
    const waitMs = this.#busyUntilMs - nowMs;
    return new Promise((resolve) =>
      this.#clock.schedule(waitMs, () => resolve())
    );
  }

  get #backlogMs(): number {
    return Math.max(0, this.#busyUntilMs - this.#clock.monotonicMs());
  }

  #readTimes(): { readonly idle: number; readonly active: number } {
    const active = this.#takenMs - this.#backlogMs;
    const passedMs = this.#clock.monotonicMs() - this.#startedAtMs;
    return { active, idle: passedMs - active };
  }
}
