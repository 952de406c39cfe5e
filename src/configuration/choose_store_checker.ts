/**
 * Selects the daemon that checks the object API besides the watchers.
 *
 * The object API may refuse just the watchers while it serves all others. Members
 * of a failure domain therefore take turns in making one call each. They derive
 * the turn from the time of day, so that they need no messages; clocks that differ
 * only make turns overlap or leave gaps between them.
 */

import { chooseWatchers } from "./choose_watchers.ts";

/** What the choice depends on. */
export interface StoreCheckInput {
  /** Incarnations of the live members of the failure domain that do not watch. */
  readonly incarnations: readonly string[];
  /** Live failure domains; their turns begin one after the other. */
  readonly domains: readonly string[];
  readonly failureDomain: string;
  /** Time of day, in milliseconds. */
  readonly nowMs: number;
  /** Length of a turn, in milliseconds. */
  readonly turnMs: number;
}

/** A turn and the member whose it is. */
export interface StoreCheckTurn {
  readonly turn: number;
  readonly incarnation: string | undefined;
}

/**
 * Chooses the member whose turn it is.
 *
 * @param input - Members, failure domains and time
 * @returns The number of the turn and its member; undefined if all members watch
 *
 * @example
 * chooseStoreChecker({ incarnations, domains, failureDomain, nowMs, turnMs });
 */
export function chooseStoreChecker(
  { incarnations, domains, failureDomain, nowMs, turnMs }: StoreCheckInput,
): StoreCheckTurn {
  const sorted = [...domains].sort();
  const offset = sorted.indexOf(failureDomain) / Math.max(1, sorted.length);
  const turn = Math.floor(nowMs / turnMs + offset);
  const ranked = chooseWatchers(incarnations, incarnations.length);
  return { turn, incarnation: ranked[turn % ranked.length] };
}
