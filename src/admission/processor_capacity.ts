/**
 * How many calls the process of a daemon carries, in slots.
 *
 * A daemon passes on the calls of its backend server and their nested calls. With
 * short work or many nested calls, its processor is used up before the slots are.
 */

import type { ProcessorLoad } from "../event_loop/mod.ts";
import { computeBusySlots } from "./compute_admit_ratios.ts";
import type { ClassDemand } from "./demand_window.ts";

/** Share of the time in which the event loop may be busy. */
const MAX_UTILIZATION = 0.98;

/** Delay of the event loop above which it has a backlog, in milliseconds. */
const MAX_DELAY_MS = 20;

/** Time over which a backlog is worked off, in milliseconds. */
const DRAIN_MS = 500;

/** Least share of what the processor carries that is allocated while a backlog is worked off. */
const MIN_DRAIN_RATIO = 0.6;

/** Least share of the demand that is allocated. What keeps the processor busy may be other work, which refusing calls does not reduce. */
const MIN_DEMAND_RATIO = 0.2;

/** Largest factor by which the allocated share of the demand rises from one estimate to the next. */
const MAX_RISE = 1.05;

/** Span over which calls that begin and end are counted, in milliseconds. */
const SPAN_MS = 300;

/** Longest time after which a call that began is expected to have ended, in milliseconds. */
const MAX_LAG_MS = 150;

/** Fewest calls from which it is computed whether calls end as often as they begin. */
const MIN_CALLS = 8;

/** Time and hold times of an estimate. */
export interface ProcessorEstimate {
  readonly nowMs: number;
  /** Expected slot hold time of a call of each class, in milliseconds. */
  readonly holdTimesMs: readonly number[];
  /** Expected slot hold time of all calls, in milliseconds. */
  readonly holdMs: number;
}

/** Calls until a moment. */
interface CallTotals {
  readonly atMs: number;
  readonly begun: number;
  readonly ended: number;
}

/** Estimates the capacity of a daemon's process from its load and from the calls that begin and end. */
export class ProcessorCapacity {
  readonly #load: ProcessorLoad;
  #begun = 0;
  #ended = 0;
  /** Totals at the latest estimates, oldest first. */
  readonly #history: CallTotals[] = [];
  /** Slots of the last estimate, as a share of those that were needed. */
  #ratio = 1;

  constructor(load: ProcessorLoad) {
    this.#load = load;
  }

  /** Whether there was too little processor time at the last estimate. */
  get isScarce(): boolean {
    return this.#ratio < 1;
  }

  /** Records that a call has begun. */
  recordBegin(): void {
    this.#begun += 1;
  }

  /** Records that a call has ended. */
  recordEnd(): void {
    this.#ended += 1;
  }

  /**
   * Estimates the slots that calls can occupy with the processor time that there
   * is. The processor time of a call is taken to be proportional to its hold time.
   *
   * @param demands - Demand of each class, the most important first
   * @param estimate - Time and hold times
   * @returns The slots; infinite unless they are fewer than the calls need
   */
  estimateSlots(
    demands: readonly ClassDemand[],
    { nowMs, holdTimesMs, holdMs }: ProcessorEstimate,
  ): number {
    this.#recordTotals(nowMs);
    const { utilization, delayMs, isSaturated } = this.#load;
    const sumSlots = (read: (demand: ClassDemand) => number) =>
      demands.reduce(
        (slots, demand, rank) =>
          slots + computeBusySlots(read(demand), holdTimesMs[rank] ?? 1),
        0,
      );
    const neededSlots = sumSlots(({ arrivingPerSecond }) => arrivingPerSecond);
    if (utilization === 0 || neededSlots === 0) {
      return Number.POSITIVE_INFINITY;
    }
    const receivedSlots = sumSlots(({ offeredPerSecond, admittedRatio }) =>
      offeredPerSecond * admittedRatio
    );
    // A pause alone is no reason to begin refusing; the loop makes up for it.
    const isBehind = delayMs > MAX_DELAY_MS && (isSaturated || this.isScarce);
    const endedRatio = isBehind ? this.#computeEndedRatio(nowMs, holdMs) : 1;
    const backlogMs = Math.max(0, delayMs - MAX_DELAY_MS);
    const drainRatio = Math.max(MIN_DRAIN_RATIO, 1 - backlogMs / DRAIN_MS);
    const slots = receivedSlots * endedRatio * drainRatio * MAX_UTILIZATION /
      utilization;
    const ratio = slots / neededSlots;
    // A busy loop without a backlog is no reason to begin refusing.
    const lowest = isBehind || this.isScarce ? MIN_DEMAND_RATIO : 1;
    this.#ratio = Math.max(lowest, Math.min(ratio, this.#ratio * MAX_RISE, 1));
    return this.isScarce ? neededSlots * this.#ratio : Number.POSITIVE_INFINITY;
  }

  /** Computes how many calls end for each one that began a hold time before; with a backlog, fewer than 1 until the entries admit less. */
  #computeEndedRatio(nowMs: number, holdMs: number): number {
    const lagMs = Math.min(holdMs, MAX_LAG_MS);
    const begun = this.#findTotals(nowMs - lagMs).begun -
      this.#findTotals(nowMs - lagMs - SPAN_MS).begun;
    const ended = this.#ended - this.#findTotals(nowMs - SPAN_MS).ended;
    return begun < MIN_CALLS ? 1 : ended / begun;
  }

  /** Finds the totals at a time, as of the latest estimate before it. */
  #findTotals(atMs: number): CallTotals {
    let found: CallTotals = { atMs, begun: 0, ended: 0 };
    for (const totals of this.#history) {
      if (totals.atMs > atMs) {
        break;
      }
      found = totals;
    }
    return found;
  }

  #recordTotals(atMs: number): void {
    const history = this.#history;
    history.push({ atMs, begun: this.#begun, ended: this.#ended });
    const fromMs = atMs - MAX_LAG_MS - SPAN_MS;
    // The last one before the span tells the totals at its start.
    while (history[1] && history[1].atMs <= fromMs) {
      history.shift();
    }
  }
}
