/**
 * Slots that a class has to leave free for others.
 */

import type { RunningCalls } from "./running_calls.ts";

/** What the count depends on. */
export interface ReservationOptions {
  /** Class that wants a slot. */
  readonly classRank: number;
  readonly limit: number;
  /** Share of the limit kept for each class, the most important first. */
  readonly reservedRatios: readonly number[];
  /** Slots that the calls of a class take up at once. */
  readonly countWanted: (classRank: number) => number;
}

/**
 * Counts the reserved slots that other classes do not use yet, no more than
 * these have calls for.
 *
 * @param running - Calls that run
 * @param options - The class, the limit and the reservations
 * @returns The slots to leave free
 *
 * @example
 * const isFree = limit - running.count > countReservedSlots(running, options);
 */
export function countReservedSlots(
  running: RunningCalls,
  options: ReservationOptions,
): number {
  const { classRank, limit, reservedRatios, countWanted } = options;
  return reservedRatios.reduce((sum, ratio, rank) => {
    const slots = Math.floor(limit * ratio);
    if (rank === classRank || slots === 0) {
      return sum;
    }
    const kept = Math.min(slots, countWanted(rank));
    return sum + Math.max(0, kept - running.countClass(rank));
  }, 0);
}
