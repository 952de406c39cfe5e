/**
 * Choice of the holder of an account group.
 */

import { hashText } from "../hashing/mod.ts";
import type { FleetMember } from "./allowance_fleet.ts";

/**
 * Ranks the daemons that can hold a group by rendezvous hashing: daemons with
 * the same view choose the same holder, and few groups move when a daemon joins
 * or leaves.
 *
 * @param candidates - Daemons that can be holders
 * @param group - Index of the group
 * @returns The daemons, best first
 *
 * @example
 * const [holder] = rankHolders(fleet.listCandidates(), 0);
 */
export function rankHolders(
  candidates: readonly FleetMember[],
  group: number,
): FleetMember[] {
  return candidates
    .map((member) => ({
      member,
      rank: hashText(`${group}@${member.incarnation}`),
    }))
    .sort((one, other) => other.rank - one.rank)
    .map(({ member }) => member);
}
