/**
 * Selects the daemons that watch the object API on behalf of their failure domain.
 */

import { createHash } from "node:crypto";
import type { MemberRecord } from "../generated/types.ts";

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
 * Chooses the watchers of one failure domain, and successors of those that may have
 * ended. A member that does not answer is evicted only seconds after it is suspected,
 * and one that is leaving ends without notice, so that its successor starts before.
 *
 * @param members - Records of the live members of the failure domain
 * @param count - Number of watchers to choose
 * @returns Incarnations of the chosen watchers; more than `count` while a watcher is
 *   suspected or leaving
 *
 * @example
 * chooseWatchersWithSuccessors(domainMembers, 1).has(self.incarnation);
 */
export function chooseWatchersWithSuccessors(
  members: readonly Pick<MemberRecord, "incarnation" | "state">[],
  count: number,
): ReadonlySet<string> {
  const alive = members.filter(({ state }) => state === "alive");
  return new Set(
    [members, alive].flatMap((candidates) =>
      chooseWatchers(candidates.map(({ incarnation }) => incarnation), count)
    ),
  );
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
