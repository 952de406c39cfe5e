/**
 * Choice of the daemons that speak for a failure domain.
 */

import type { MemberRecord } from "../generated/types.ts";
import { hashText } from "../hashing/mod.ts";

/** Delegates of each failure domain. */
export const DELEGATES_PER_DOMAIN = 3;

/**
 * Chooses the delegates of a failure domain: the alive members whose
 * incarnations hash lowest. Daemons that see the same members choose the same
 * delegates; while views differ there are a few more, which does no harm.
 *
 * @param members - Records of one failure domain
 * @returns The delegates, the first one first
 *
 * @example
 * const [first] = chooseDelegates(table.listDomain("gent-a"));
 */
export function chooseDelegates(
  members: readonly MemberRecord[],
): MemberRecord[] {
  return members
    .filter(({ state }) => state === "alive")
    .map((record) => ({ record, rank: hashText(record.incarnation) }))
    .sort((one, other) => one.rank - other.rank)
    .slice(0, DELEGATES_PER_DOMAIN)
    .map(({ record }) => record);
}
