/**
 * Selection of the daemons that represent a failure domain.
 */

import type { MemberRecord } from "../generated/types.ts";
import { hashText } from "../hashing/mod.ts";

/** Number of delegates per failure domain. */
export const DELEGATES_PER_DOMAIN = 3;

/**
 * Selects the delegates of a failure domain: the alive members whose
 * incarnations have the lowest hashes. Daemons with the same view select the
 * same delegates. While views differ, a few additional members act as
 * delegates, which is harmless.
 *
 * @param members - Records of one failure domain
 * @returns The delegates in ascending order of their hash
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
