/**
 * Division of a service's capacity among classes.
 */

import type { ClassDemand } from "./demand_window.ts";

/** Share of a class that is always admitted, so that its demand stays known. */
export const MIN_ADMIT_RATIO = 0.01;

/** What is divided. */
export interface CapacityDivision {
  readonly capacityPerSecond: number;
  /** Share of the capacity kept for each class, the most important first. */
  readonly reservedRatios: readonly number[];
}

/**
 * Computes the share of each class that entries may admit: every class gets its
 * reserved capacity first, then the rest goes by importance.
 *
 * @param demands - Demand of each class, the most important first
 * @param division - Capacity and what is reserved of it
 * @returns The shares, from {@link MIN_ADMIT_RATIO} to 1
 *
 * @example
 * const ratios = computeAdmitRatios(demands, { capacityPerSecond: 80, reservedRatios: [0.1, 0] });
 */
export function computeAdmitRatios(
  demands: readonly ClassDemand[],
  division: CapacityDivision,
): number[] {
  const { capacityPerSecond, reservedRatios } = division;
  const reserved = demands.map(({ arrivingPerSecond }, rank) =>
    Math.min(arrivingPerSecond, (reservedRatios[rank] ?? 0) * capacityPerSecond)
  );
  let freePerSecond = capacityPerSecond -
    reserved.reduce((sum, each) => sum + each, 0);
  return demands.map(({ wholePerSecond, arrivingPerSecond }, rank) => {
    const reservedPerSecond = reserved[rank] ?? 0;
    const wanted = arrivingPerSecond - reservedPerSecond;
    const given = Math.max(0, Math.min(wanted, freePerSecond));
    freePerSecond -= given;
    return given >= wanted
      ? 1
      : Math.max(MIN_ADMIT_RATIO, (reservedPerSecond + given) / wholePerSecond);
  });
}
