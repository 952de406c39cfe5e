/**
 * Counts the slots that a class has to leave free for other classes.
 */

import type { RunningCalls } from "./running_calls.ts";

/** Class, limit and reservations. */
export interface ReservationOptions {
  /** Rank of the class that requests a slot. */
  readonly classRank: number;
  readonly limit: number;
  /** Share of the limit reserved for each class, the most important first. */
  readonly reservedRatios: readonly number[];
  /** Number of slots that the calls of a class currently need. */
  readonly countNeededSlots: (classRank: number) => number;
}

/**
 * Counts the unused slots reserved for other classes. A reservation counts only
 * up to the number of slots that the class needs.
 *
 * @param running - Running calls
 * @param options - Class, limit and reservations
 * @returns The number of slots to leave free
 *
 * @example
 * const isFree = limit - running.count > countReservedSlots(running, options);
 */
export function countReservedSlots(
  running: RunningCalls,
  options: ReservationOptions,
): number {
  const { classRank, limit, reservedRatios, countNeededSlots } = options;
  return reservedRatios.reduce((sum, ratio, rank) => {
    const slots = Math.floor(limit * ratio);
    if (rank === classRank || slots === 0) {
      return sum;
    }
    const reserved = Math.min(slots, countNeededSlots(rank));
    return sum + Math.max(0, reserved - running.countByClass(rank));
  }, 0);
}
