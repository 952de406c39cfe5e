/**
 * Computes the admit ratio of each class that a service requests from entries.
 *
 * The ratios follow capacity over demand immediately (feedforward). The queue
 * delay and idle slots correct errors in these two estimates (feedback).
 */

import type { ClassDemand } from "./demand_window.ts";
import { smoothDemands } from "./smooth_demands.ts";
import {
  computeAdmitRatios,
  computeBusySlots,
} from "./compute_admit_ratios.ts";

/** Minimum time between two updates, in milliseconds. */
const UPDATE_INTERVAL_MS = 50;

/** Lower bound of the target queue delay, in milliseconds. The calls of a tree that follow one another wait for it one after the other. */
const MIN_TARGET_DELAY_MS = 40;

/** Target queue delay as a share of the time that most nested calls have left beyond their work, if that is longer. A burst that passes meanwhile is served later instead of refused. */
const TARGET_DELAY_RATIO = 0.35;

/** Lower bound of the target queue length, in calls; enough to keep all slots in use. */
const MIN_TARGET_CALLS = 3;

/** Time over which a deviation from the target delay is corrected, as a multiple of the target. */
const CORRECTION_FACTOR = 8;

/** Bounds of the queue correction, as a share of the capacity. */
const MIN_CORRECTION = 0.1;
const MAX_CORRECTION = 1.2;

/** Largest share of the capacity that stays with the more important classes while a long queue drains. */
const MAX_PROTECTED_RATIO = 0.9;

/** Growth factor of the capacity per interval while slots are idle. */
const IDLE_GROWTH = 1.15;

/** Largest admit ratio relative to that of the arriving requests at which the capacity still grows; a higher one has not taken effect yet. */
const MAX_PENDING_GROWTH = 1.1;

/** Share of the accumulated growth that remains after an interval without idle slots. */
const GROWTH_DECAY = 0.8;

/** Most missed intervals that one update makes up for after a period without calls. */
const MAX_MISSED_INTERVALS = 20;

/** Inputs of one update of the admit ratios. */
export interface AdmitRatioInput {
  readonly nowMs: number;
  readonly demands: () => readonly ClassDemand[];
  /** Concurrency limit, in calls. */
  readonly slots: number;
  /** Expected slot hold time of a call of each class, in milliseconds. */
  readonly holdTimesMs: readonly number[];
  readonly queueDelayMs: number;
  /** Mean time between two slots becoming free, in milliseconds. */
  readonly msPerCall: number;
  /** Time that most nested calls have beyond their hold time, in milliseconds; 0 by default. */
  readonly spareMs?: number;
  /** Whether slots were idle for a significant part of the time since the last update. */
  readonly isIdle: () => boolean;
  readonly reservedRatios: readonly number[];
  /** Share of the slots to allocate while calls get no slot in time; 1 otherwise. */
  readonly usableRatio?: number;
  /** Estimates the slots that calls can occupy with the daemon's processor time; infinite unless it is scarce. */
  readonly estimateProcessorSlots?: (demands: readonly ClassDemand[]) => number;
}

/**
 * Updates the admit ratios of a service. While slots are idle, the controller
 * does not start refusing, whatever the estimates say.
 */
export class AdmitRatioController {
  #ratios: readonly number[] = [];
  #demands: readonly ClassDemand[] = [];
  #demandPerSecond = 0;
  #updatedAtMs: number | undefined;
  #growth = 1;

  /** Admit ratios by class rank; empty before the first update. */
  get ratios(): readonly number[] {
    return this.#ratios;
  }

  /** Offered load of all classes, in requests per second, as if entries refused nothing. */
  get demandPerSecond(): number {
    return this.#demandPerSecond;
  }

  /** Lowest admit ratio of all classes. */
  get lowestRatio(): number {
    return Math.min(1, ...this.#ratios);
  }

  /** Number of slots that the arriving calls of a class occupy, rounded up. */
  countNeededSlots(classRank: number, holdMs: number): number {
    const perSecond = this.#demands[classRank]?.arrivingPerSecond ?? 0;
    return Math.ceil(computeBusySlots(perSecond, holdMs));
  }

  /** Whether an update interval has passed since the last update. */
  isDue(nowMs: number): boolean {
    return this.#countIntervals(nowMs) >= 1;
  }

  /**
   * Recomputes the ratios if an update is due.
   *
   * @param input - Current load and capacity
   * @returns Whether the ratios were recomputed
   */
  update(input: AdmitRatioInput): boolean {
    const intervals = this.#countIntervals(input.nowMs);
    if (intervals < 1) {
      return false;
    }
    this.#updatedAtMs = input.nowMs;
    const demands = smoothDemands(this.#demands, input.demands());
    this.#demands = demands;
    this.#demandPerSecond = demands.reduce(
      (sum, { offeredPerSecond }) => sum + offeredPerSecond,
      0,
    );
    const processorSlots = input.estimateProcessorSlots?.(demands) ??
      Number.POSITIVE_INFINITY;
    const isIdle = input.isIdle() &&
      processorSlots === Number.POSITIVE_INFINITY;
    if (isIdle && this.lowestRatio === 1) {
      this.#ratios = demands.map(() => 1);
      return true;
    }
    this.#updateGrowth(input, {
      isIdle,
      intervals: Math.min(MAX_MISSED_INTERVALS, intervals),
    });
    this.#ratios = computeAdmitRatios(demands, {
      slots: Math.min(
        processorSlots,
        this.#computeEffectiveSlots(input, demands),
      ),
      holdTimesMs: input.holdTimesMs,
      reservedRatios: input.reservedRatios,
    });
    return true;
  }

  #countIntervals(nowMs: number): number {
    return this.#updatedAtMs === undefined
      ? 1
      : (nowMs - this.#updatedAtMs) / UPDATE_INTERVAL_MS;
  }

  /**
   * Computes the slots to allocate. A long queue is drained at the expense of
   * the least important class first, as far as that is enough.
   */
  #computeEffectiveSlots(
    input: AdmitRatioInput,
    demands: readonly ClassDemand[],
  ): number {
    const { slots, holdTimesMs } = input;
    const neededSlots = demands.map(({ arrivingPerSecond }, rank) =>
      computeBusySlots(arrivingPerSecond, holdTimesMs[rank] ?? 1)
    );
    const lowestClassSlots = neededSlots.filter((each) => each > 0).at(-1) ?? 0;
    const protectedSlots = neededSlots.reduce((sum, each) => sum + each, 0) -
      lowestClassSlots;
    const corrected = slots * this.#growth * computeCorrection(input) *
      (input.usableRatio ?? 1);
    return Math.max(
      corrected,
      Math.min(protectedSlots, slots * MAX_PROTECTED_RATIO),
    );
  }

  /** Whether requests still arrive that entries admitted at lower ratios. Trees of calls take a while to get here, and growing meanwhile would admit far too many. */
  get #hasPendingGrowth(): boolean {
    return this.#demands.some(({ admittedRatio }, rank) =>
      (this.#ratios[rank] ?? 1) > admittedRatio * MAX_PENDING_GROWTH
    );
  }

  #updateGrowth(
    input: AdmitRatioInput,
    { isIdle, intervals }: { isIdle: boolean; intervals: number },
  ): void {
    if (!isIdle) {
      this.#growth = 1 + (this.#growth - 1) * GROWTH_DECAY ** intervals;
      return;
    }
    if (this.#hasPendingGrowth) {
      return;
    }
    const neededSlots = this.#demands.reduce(
      (sum, { offeredPerSecond }, rank) =>
        sum + computeBusySlots(offeredPerSecond, input.holdTimesMs[rank] ?? 1),
      0,
    );
    const requiredGrowth = neededSlots / Math.max(1, input.slots);
    this.#growth = Math.max(
      1,
      Math.min(requiredGrowth, this.#growth * IDLE_GROWTH ** intervals),
    );
  }
}

function computeCorrection(
  { queueDelayMs, msPerCall, spareMs = 0 }: AdmitRatioInput,
): number {
  const targetMs = Math.max(
    MIN_TARGET_DELAY_MS,
    msPerCall * MIN_TARGET_CALLS,
    spareMs * TARGET_DELAY_RATIO,
  );
  const excess = (queueDelayMs - targetMs) / (targetMs * CORRECTION_FACTOR);
  return Math.max(MIN_CORRECTION, Math.min(MAX_CORRECTION, 1 - excess));
}
