/**
 * Selects the daemons that watch the object API on behalf of their failure domain.
 */

import { createHash } from "node:crypto";

/** Number of watchers in each failure domain. */
export const WATCHERS_PER_DOMAIN = 2;

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
