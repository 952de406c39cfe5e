/**
 * The shares of each class that a service asks entries to admit.
 *
 * The shares follow from capacity over demand at once; the delay of the queue
 * and idle slots correct what is wrong in the two estimates.
 */

import type { ClassDemand } from "./demand_window.ts";
import { smoothDemands } from "./smooth_demands.ts";
import { computeAdmitRatios, computeSlots } from "./compute_admit_ratios.ts";

/** Time between two computations, in milliseconds. */
const TICK_MS = 50;

/** Shortest delay of the queue that is aimed at, in milliseconds. */
const MIN_TARGET_DELAY_MS = 80;

/** Waiting calls that keep all slots in use. */
const MIN_TARGET_CALLS = 3;

/** Time in which a wrong delay is corrected, as a multiple of the delay aimed at. */
const CORRECTION_FACTOR = 4;

/** Bounds of the correction, as a share of the capacity. */
const MIN_CORRECTION = 0.1;
const MAX_CORRECTION = 1.2;

/** Share of the capacity that a long queue does not take from important classes. */
const MAX_SPARED_RATIO = 0.9;

/** Growth of the shares in each tick while slots are idle. */
const IDLE_GROWTH = 1.15;

/** Share of that growth which is left after a tick without idle slots. */
const GROWTH_DECAY = 0.8;

/** Ticks made up for when no call came for a while. */
const MAX_MISSED_TICKS = 20;

/** What the shares are computed from. */
export interface LevelInput {
  readonly nowMs: number;
  readonly demands: () => readonly ClassDemand[];
  /** Calls that may run at once. */
  readonly slots: number;
  /** Time for which a call of each class holds its slot, in milliseconds. */
  readonly holdsMs: readonly number[];
  readonly queueDelayMs: number;
  /** Time after which a slot gets free, on average, in milliseconds. */
  readonly msPerCall: number;
  /** Whether slots were free for a good part of the time since the last update. */
  readonly isIdle: () => boolean;
  readonly reservedRatios: readonly number[];
}

/**
 * Keeps the shares up to date. A service with idle slots does not begin to
 * refuse, whatever it estimates.
 */
export class AdmitLevel {
  #ratios: readonly number[] = [];
  #demands: readonly ClassDemand[] = [];
  #demandPerSecond = 0;
  #updatedAtMs: number | undefined;
  #growth = 1;

  /** Shares by class rank; empty before the first update. */
  get ratios(): readonly number[] {
    return this.#ratios;
  }

  /** Demand of all classes, if entries refused nothing. */
  get demandPerSecond(): number {
    return this.#demandPerSecond;
  }

  /** Share of all requests that is admitted. */
  get lowestRatio(): number {
    return Math.min(1, ...this.#ratios);
  }

  /** Slots that the calls of a class take up at once. */
  countWanted(classRank: number, holdMs: number): number {
    const perSecond = this.#demands[classRank]?.arrivingPerSecond ?? 0;
    return Math.ceil(computeSlots(perSecond, holdMs));
  }

  /** Whether a tick has passed, so that the shares are to be computed anew. */
  isDue(nowMs: number): boolean {
    return this.#countTicks(nowMs) >= 1;
  }

  /** Computes the shares anew once a tick; tells whether it did. */
  update(input: LevelInput): boolean {
    const ticks = this.#countTicks(input.nowMs);
    if (ticks < 1) {
      return false;
    }
    this.#updatedAtMs = input.nowMs;
    const demands = smoothDemands(this.#demands, input.demands());
    this.#demands = demands;
    this.#demandPerSecond = demands.reduce(
      (sum, { wholePerSecond }) => sum + wholePerSecond,
      0,
    );
    const isIdle = input.isIdle();
    if (isIdle && this.lowestRatio === 1) {
      this.#ratios = demands.map(() => 1);
      return true;
    }
    this.#adaptGrowth(input, {
      isIdle,
      ticks: Math.min(MAX_MISSED_TICKS, ticks),
    });
    this.#ratios = computeAdmitRatios(demands, {
      slots: this.#correctSlots(input, demands),
      holdsMs: input.holdsMs,
      reservedRatios: input.reservedRatios,
    });
    return true;
  }

  #countTicks(nowMs: number): number {
    return this.#updatedAtMs === undefined
      ? 1
      : (nowMs - this.#updatedAtMs) / TICK_MS;
  }

  /**
   * Slots by which the shares are computed. A long queue is emptied at the cost
   * of the least important class, as far as that suffices.
   */
  #correctSlots(
    input: LevelInput,
    demands: readonly ClassDemand[],
  ): number {
    const { slots, holdsMs } = input;
    const wanted = demands.map(({ arrivingPerSecond }, rank) =>
      computeSlots(arrivingPerSecond, holdsMs[rank] ?? 1)
    );
    const lowest = wanted.filter((each) => each > 0).at(-1) ?? 0;
    const spared = wanted.reduce((sum, each) => sum + each, 0) - lowest;
    const corrected = slots * this.#growth * computeCorrection(input);
    return Math.max(corrected, Math.min(spared, slots * MAX_SPARED_RATIO));
  }

  #adaptGrowth(
    input: LevelInput,
    { isIdle, ticks }: { isIdle: boolean; ticks: number },
  ): void {
    if (!isIdle) {
      this.#growth = 1 + (this.#growth - 1) * GROWTH_DECAY ** ticks;
      return;
    }
    const wanted = this.#demands.reduce(
      (sum, { wholePerSecond }, rank) =>
        sum + computeSlots(wholePerSecond, input.holdsMs[rank] ?? 1),
      0,
    );
    const needed = wanted / Math.max(1, input.slots);
    this.#growth = Math.max(
      1,
      Math.min(needed, this.#growth * IDLE_GROWTH ** ticks),
    );
  }
}

function computeCorrection({ queueDelayMs, msPerCall }: LevelInput): number {
  const targetMs = Math.max(MIN_TARGET_DELAY_MS, msPerCall * MIN_TARGET_CALLS);
  const excess = (queueDelayMs - targetMs) / (targetMs * CORRECTION_FACTOR);
  return Math.max(MIN_CORRECTION, Math.min(MAX_CORRECTION, 1 - excess));
}
