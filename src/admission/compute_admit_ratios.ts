/**
 * Division of a service's capacity among classes.
 */

import type { ClassDemand } from "./demand_window.ts";

/** Share of a class that is always admitted, so that its demand stays known. */
export const MIN_ADMIT_RATIO = 0.01;

/** What is divided. */
export interface SlotDivision {
  /** Slots of the backend server. */
  readonly slots: number;
  /** Time for which a call of each class holds its slot, in milliseconds. */
  readonly holdsMs: readonly number[];
  /** Share of the slots kept for each class, the most important first. */
  readonly reservedRatios: readonly number[];
}

/** Slots so few that a class without them is not held back. */
const MIN_MISSING_SLOTS = 1e-6;

const MS_PER_SECOND = 1_000;

/**
 * Computes the slots that calls of a class take up at once.
 *
 * @param perSecond - Calls per second
 * @param holdMs - Time for which each holds its slot
 * @returns The slots
 *
 * @example
 * const slots = computeSlots(40, 25); // 1
 */
export function computeSlots(perSecond: number, holdMs: number): number {
  return perSecond * holdMs / MS_PER_SECOND;
}

/**
 * Computes the share of each class that entries may admit: every class gets its
 * reserved slots first, then the rest goes by importance.
 *
 * @param demands - Demand of each class, the most important first
 * @param division - Slots, how long calls hold them and what is reserved
 * @returns The shares, from {@link MIN_ADMIT_RATIO} to 1
 *
 * @example
 * const ratios = computeAdmitRatios(demands, { slots: 2, holdsMs: [20, 20], reservedRatios: [0.1, 0] });
 */
export function computeAdmitRatios(
  demands: readonly ClassDemand[],
  division: SlotDivision,
): number[] {
  const { slots, holdsMs, reservedRatios } = division;
  const wanted = demands.map(({ arrivingPerSecond }, rank) =>
    computeSlots(arrivingPerSecond, holdsMs[rank] ?? 1)
  );
  const reserved = wanted.map((each, rank) =>
    Math.min(each, (reservedRatios[rank] ?? 0) * slots)
  );
  let free = slots - reserved.reduce((sum, each) => sum + each, 0);
  return demands.map(({ wholePerSecond }, rank) => {
    const kept = reserved[rank] ?? 0;
    const rest = (wanted[rank] ?? 0) - kept;
    const given = Math.max(0, Math.min(rest, free));
    free -= given;
    const whole = computeSlots(wholePerSecond, holdsMs[rank] ?? 1);
    return rest - given < MIN_MISSING_SLOTS
      ? 1
      : Math.max(MIN_ADMIT_RATIO, (kept + given) / whole);
  });
}
