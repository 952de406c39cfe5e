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

/**
 * Number of daemons above which each failure domain has a holder of its own. One
 * holder spends about 0.3 ms on a message, and gets 2.5 a second of each daemon.
 */
export const MAX_DAEMONS_PER_HOLDER = 500;

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
 * daemons to ask for their shares. In a large fleet only those of the own failure
 * domain are.
 *
 * @param records - All records of the membership
 * @param options - Members lost without notice, unreachable failure domains, and
 *   the failure domain of this daemon
 * @returns The directory
 *
 * @example
 * const directory = createFleetDirectory(membership.listAll(), { silent, unreachable: [], ownDomain });
 */
export function createFleetDirectory(
  records: readonly MemberRecord[],
  { silent, unreachable, ownDomain }: {
    readonly silent: SilentMembers;
    readonly ownDomain: string;
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
  const knownCount = countMembers(records, silent);
  const domains = knownCount > MAX_DAEMONS_PER_HOLDER
    ? [byDomain.get(ownDomain) ?? []]
    : [...byDomain.values()];
  const candidates = domains.flatMap((members) => chooseDelegates(members)).map(
    ({ incarnation, address, peerPort }) => ({
      ...{ incarnation, address, peerPort },
    }),
  );
  return {
    memberCount: knownCount,
    knownCount,
    candidates,
    digest: digestCandidates(candidates),
  };
}
