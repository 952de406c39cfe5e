/**
 * Selects the daemons that watch the object API on behalf of their failure domain.
 */

import { createHash } from "node:crypto";

/** Number of watchers in each failure domain. */
export const WATCHERS_PER_DOMAIN = 2;

/** Minimum number of watchers in the whole fleet, in case the store refuses some of them. */
const MIN_FLEET_WATCHERS = 4;

/**
 * Chooses the watchers of one failure domain by rendezvous hashing. Members with
 * the same view of the live members choose the same watchers, and when a watcher
 * fails only that watcher is replaced.
 *
 * @param incarnations - Incarnations of the live members of the failure domain
 * @param count - Number of watchers to choose
 * @returns Incarnations of the chosen watchers
 *
 * @example
 * chooseWatchers(live, WATCHERS_PER_DOMAIN).includes(self.incarnation);
 */
export function chooseWatchers(
  incarnations: readonly string[],
  count: number,
): string[] {
  const ranked = incarnations.map((incarnation) => ({
    incarnation,
    rank: createHash("sha256").update(incarnation).digest("hex"),
  }));
  ranked.sort((left, right) => left.rank < right.rank ? -1 : 1);
  return ranked.slice(0, count).map(({ incarnation }) => incarnation);
}

/**
 * Counts the watchers of each failure domain: more than usual in a fleet with few
 * failure domains.
 *
 * @param perDomain - Usual number of watchers in a failure domain
 * @param domainCount - Number of failure domains with live members
 * @returns Number of watchers to choose in each failure domain
 *
 * @example
 * countWatchersPerDomain(1, 2); // 2
 */
export function countWatchersPerDomain(
  perDomain: number,
  domainCount: number,
): number {
  const minPerDomain = Math.ceil(MIN_FLEET_WATCHERS / Math.max(1, domainCount));
  return Math.max(perDomain, minPerDomain);
}
