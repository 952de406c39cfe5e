/**
 * What the delegates of a failure domain, who know the whole fleet, tell its
 * other members: how many daemons there are, and which can be holders.
 */

import type { MemberRecord } from "../generated/types.ts";
import { chooseDelegates } from "../membership/mod.ts";
import type { FleetMember } from "./allowance_fleet.ts";
import { countMembers } from "./count_members.ts";
import { digestCandidates } from "./digest_candidates.ts";
import type { SilentMembers } from "./silent_members.ts";

/** Number of daemons, and the possible holders. */
export interface FleetDirectory {
  /** Number of daemons among which allowances are divided. */
  readonly memberCount: number;
  /** Number of daemons that the delegate knows itself. */
  readonly knownCount: number;
  readonly candidates: readonly FleetMember[];
  /** Hash of the candidates, to tell whether they have changed. */
  readonly digest: number;
}

/**
 * Creates the directory from the records of a delegate. The delegates of every
 * failure domain that can be reached are candidates, since only they know which
 * daemons to ask for their shares.
 *
 * @param records - All records of the membership
 * @param options - Members lost without notice, and unreachable failure domains
 * @returns The directory
 *
 * @example
 * const directory = createFleetDirectory(membership.listAll(), { silent, unreachable: [] });
 */
export function createFleetDirectory(
  records: readonly MemberRecord[],
  { silent, unreachable }: {
    readonly silent: SilentMembers;
    readonly unreachable: readonly string[];
  },
): FleetDirectory {
  const byDomain = new Map<string, MemberRecord[]>();
  for (const record of records) {
    if (record.state === "alive") {
      const { failureDomain } = record;
      const members = byDomain.get(failureDomain);
      if (members) {
        members.push(record);
      } else {
        byDomain.set(failureDomain, [record]);
      }
    }
  }
  unreachable.forEach((failureDomain) => byDomain.delete(failureDomain));
  const candidates = [...byDomain.values()].flatMap((members) =>
    chooseDelegates(members)
  ).map(({ incarnation, address, peerPort }) => ({
    ...{ incarnation, address, peerPort },
  }));
  const knownCount = countMembers(records, silent);
  return {
    memberCount: knownCount,
    knownCount,
    candidates,
    digest: digestCandidates(candidates),
  };
}
