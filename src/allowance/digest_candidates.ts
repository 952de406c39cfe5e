/**
 * Hash of a set of possible holders.
 */

import { hashText } from "../hashing/mod.ts";
import type { FleetMember } from "./allowance_fleet.ts";

/**
 * Computes a hash of the possible holders.
 *
 * @param candidates - The possible holders
 * @returns The hash; the same for the same set
 *
 * @example
 * const digest = digestCandidates(directory.candidates);
 */
export function digestCandidates(candidates: readonly FleetMember[]): number {
  const names = candidates.map(({ incarnation }) => incarnation).sort();
  return hashText(names.join());
}
