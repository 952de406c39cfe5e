/**
 * Smooths demand estimates.
 */

import type { ClassDemand } from "./demand_window.ts";

/** Relative change above which the latest estimate is used unsmoothed. */
const JUMP_RATIO = 0.5;

/** Weight of the latest estimate for smaller changes. */
const LATEST_WEIGHT = 0.2;

/**
 * Smooths small changes of demand, which are estimation noise, and passes large
 * changes through.
 *
 * @param previous - Previous smoothed demand of each class
 * @param latest - Latest estimate of each class
 * @returns The smoothed demand of each class
 *
 * @example
 * demands = smoothDemands(demands, window.estimate(nowMs, classCount));
 */
export function smoothDemands(
  previous: readonly ClassDemand[],
  latest: readonly ClassDemand[],
): ClassDemand[] {
  return latest.map((demand, rank) => {
    const previousDemand = previous[rank];
    return {
      offeredPerSecond: smooth(
        previousDemand?.offeredPerSecond,
        demand.offeredPerSecond,
      ),
      arrivingPerSecond: smooth(
        previousDemand?.arrivingPerSecond,
        demand.arrivingPerSecond,
      ),
      admittedRatio: demand.admittedRatio,
    };
  });
}

function smooth(previous: number | undefined, latest: number): number {
  if (
    previous === undefined ||
    Math.abs(latest - previous) > previous * JUMP_RATIO
  ) {
    return latest;
  }
  return previous + (latest - previous) * LATEST_WEIGHT;
}
