/**
 * Allocates the capacity of a service among request classes.
 */

import type { ClassDemand } from "./demand_window.ts";

/** Lower bound of the admit ratio of a class, so that its demand stays measurable. */
export const MIN_ADMIT_RATIO = 0.01;

/** Capacity and how it is reserved. */
export interface SlotAllocation {
  /** Number of slots of the backend server. */
  readonly slots: number;
  /** Expected slot hold time of a call of each class, in milliseconds. */
  readonly holdTimesMs: readonly number[];
  /** Share of the slots reserved for each class, the most important first. */
  readonly reservedRatios: readonly number[];
}

/** Shortfall below which a class counts as fully served despite rounding errors, in slots. */
const SLOT_EPSILON = 1e-6;

const MS_PER_SECOND = 1_000;

/**
 * Computes the mean number of busy slots by Little's law.
 *
 * @param perSecond - Arrival rate, in calls per second
 * @param holdMs - Slot hold time of a call, in milliseconds
 * @returns The mean number of busy slots
 *
 * @example
 * const slots = computeBusySlots(40, 25); // 1
 */
export function computeBusySlots(perSecond: number, holdMs: number): number {
  return perSecond * holdMs / MS_PER_SECOND;
}

/**
 * Computes the admit ratio of each class. Every class first gets its reserved
 * slots; the remaining slots are allocated by importance. A class of which no
 * calls were seen lately is refused while more important ones take all slots,
 * since it may be unseen because entries refuse it.
 *
 * @param demands - Demand of each class, the most important first
 * @param allocation - Slots, hold times and reservations
 * @returns The admit ratio of each class, from {@link MIN_ADMIT_RATIO} to 1
 *
 * @example
 * const ratios = computeAdmitRatios(demands, { slots: 2, holdTimesMs: [20, 20], reservedRatios: [0.1, 0] });
 */
export function computeAdmitRatios(
  demands: readonly ClassDemand[],
  allocation: SlotAllocation,
): number[] {
  const { slots, holdTimesMs, reservedRatios } = allocation;
  const needed = demands.map(({ arrivingPerSecond }, rank) =>
    computeBusySlots(arrivingPerSecond, holdTimesMs[rank] ?? 1)
  );
  const reserved = needed.map((each, rank) =>
    Math.min(each, (reservedRatios[rank] ?? 0) * slots)
  );
  let free = slots - reserved.reduce((sum, each) => sum + each, 0);
  return demands.map(({ offeredPerSecond }, rank) => {
    const guaranteed = reserved[rank] ?? 0;
    const rest = (needed[rank] ?? 0) - guaranteed;
    const isUnreserved = (reservedRatios[rank] ?? 0) === 0;
    const isUnseen = needed[rank] === 0 && isUnreserved;
    if (isUnseen && free <= SLOT_EPSILON) {
      return MIN_ADMIT_RATIO;
    }
    const granted = Math.max(0, Math.min(rest, free));
    free -= granted;
    const offered = computeBusySlots(offeredPerSecond, holdTimesMs[rank] ?? 1);
    return rest - granted < SLOT_EPSILON
      ? 1
      : Math.max(MIN_ADMIT_RATIO, (guaranteed + granted) / offered);
  });
}
