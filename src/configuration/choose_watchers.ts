/**
 * Choice of the daemons that hold a watch on the object API.
 */

import { createHash } from "node:crypto";

/** Watchers in each failure domain. */
export const WATCHERS_PER_DOMAIN = 2;

/**
 * Chooses the watchers of one failure domain by rendezvous hashing. All members
 * that see the same live members choose the same, and when a watcher dies only
 * its own place is taken anew.
 *
 * @param incarnations - Live members of the failure domain
 * @param count - How many to choose
 * @returns The chosen incarnations
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
