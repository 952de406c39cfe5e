/**
 * How busy the event loop of this process is.
 *
 * A daemon does all its work in its event loop, so the share of the time in which
 * the loop is not idle tells how much of a processor it uses. A loop that is never
 * idle falls behind, whatever the load of the backend server.
 */

import { performance } from "node:perf_hooks";

/** Time constant of the exponential decay of the counted time, in milliseconds. */
const TIME_CONSTANT_MS = 200;

/** Weight of the latest delay in the moving average. */
const LATEST_WEIGHT = 0.5;

/** Share of the time between two ticks from which the loop counts as never idle, and consecutive ticks of that kind that show a saturated loop. A pause makes a single tick busy. */
const SATURATED_UTILIZATION = 0.97;
const SATURATED_TICKS = 4;

/** Times since the start of the event loop, in milliseconds. */
export interface LoopTimes {
  /** Time in which the loop waited for events. */
  readonly idle: number;
  /** Time in which it did something else. */
  readonly active: number;
}

/** Load of the process that runs a daemon. */
export interface ProcessorLoad {
  /** Share of the time in which the event loop was not idle, 0 to 1. */
  readonly utilization: number;
  /** Time by which the event loop is late, in milliseconds. */
  readonly delayMs: number;
  /** Whether the loop has not been idle for several ticks, so that it has more to do than the processor does. */
  readonly isSaturated: boolean;
}

/** Load of a process that does nothing. */
export const IDLE_PROCESSOR: ProcessorLoad = {
  utilization: 0,
  delayMs: 0,
  isSaturated: false,
};

/** Measures the load of the event loop over the last few hundred milliseconds. */
export class LoopLoad implements ProcessorLoad {
  readonly #readTimes: () => LoopTimes;
  #times: LoopTimes;
  #activeMs = 0;
  #totalMs = 0;
  #delayMs = 0;
  /** Consecutive ticks without idle time up to the latest one. */
  #busyTicks = 0;

  constructor(
    readTimes: () => LoopTimes = () => performance.eventLoopUtilization(),
  ) {
    this.#readTimes = readTimes;
    this.#times = readTimes();
  }

  get utilization(): number {
    return this.#totalMs > 0 ? this.#activeMs / this.#totalMs : 0;
  }

  get delayMs(): number {
    return this.#delayMs;
  }

  get isSaturated(): boolean {
    return this.#busyTicks >= SATURATED_TICKS;
  }

  /** Adds the time since the last call, at whose end a timer was late by `lateMs` milliseconds. */
  record(lateMs: number): void {
    const { idle, active } = this.#readTimes();
    const activeMs = Math.max(0, active - this.#times.active);
    const passedMs = activeMs + Math.max(0, idle - this.#times.idle);
    this.#times = { idle, active };
    const weight = Math.exp(-passedMs / TIME_CONSTANT_MS);
    this.#activeMs = this.#activeMs * weight + activeMs;
    this.#totalMs = this.#totalMs * weight + passedMs;
    this.#delayMs += (Math.max(0, lateMs) - this.#delayMs) * LATEST_WEIGHT;
    const isBusy = activeMs > 0 && activeMs >= passedMs * SATURATED_UTILIZATION;
    this.#busyTicks = isBusy ? this.#busyTicks + 1 : 0;
  }
}
