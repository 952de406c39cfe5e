/**
 * Smoothing of estimates of demand.
 */

import type { ClassDemand } from "./demand_window.ts";

/** Change, as a share of the former value, that is taken over at once. */
const JUMP_RATIO = 0.5;

/** Weight of the latest estimate where the change is smaller. */
const LATEST_WEIGHT = 0.2;

/**
 * Smooths small changes of demand, which are noise of the estimate, and takes
 * large ones as they are.
 *
 * @param former - Smoothed demand of each class so far
 * @param latest - The latest estimate
 * @returns The smoothed demand
 *
 * @example
 * demands = smoothDemands(demands, window.estimate(nowMs, classCount));
 */
export function smoothDemands(
  former: readonly ClassDemand[],
  latest: readonly ClassDemand[],
): ClassDemand[] {
  return latest.map((demand, rank) => {
    const before = former[rank];
    return {
      wholePerSecond: smooth(before?.wholePerSecond, demand.wholePerSecond),
      arrivingPerSecond: smooth(
        before?.arrivingPerSecond,
        demand.arrivingPerSecond,
      ),
    };
  });
}

function smooth(former: number | undefined, latest: number): number {
  if (
    former === undefined || Math.abs(latest - former) > former * JUMP_RATIO
  ) {
    return latest;
  }
  return former + (latest - former) * LATEST_WEIGHT;
}
