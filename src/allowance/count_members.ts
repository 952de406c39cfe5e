/**
 * Number of daemons among which allowances are divided.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { SilentMembers } from "./silent_members.ts";

/**
 * Counts the daemons that may serve callers. Counts members that are alive,
 * suspect or leaving, and those that were lost without notice, since they may be
 * partitioned. Does not count members that left, and processes whose address a
 * later one has taken over. A member that was already dead when this daemon
 * learned of it is not counted.
 *
 * @param records - All records of the membership
 * @param silent - Members that were lost without notice
 * @returns The number of daemons
 *
 * @example
 * const memberCount = countMembers(membership.listAll(), silentMembers);
 */
export function countMembers(
  records: readonly MemberRecord[],
  silent: SilentMembers,
): number {
  const latest = new Map<string, MemberRecord>();
  for (const record of records) {
    const address = `${record.address}:${record.peerPort}`;
    const known = latest.get(address);
    // Records that start at 0 are of other things than processes.
    if (
      record.startedAtMs > 0 &&
      (!known || record.startedAtMs > known.startedAtMs)
    ) {
      latest.set(address, record);
    }
  }
  let count = 0;
  for (const { state, incarnation } of latest.values()) {
    count += Number(state !== "dead" || silent.has(incarnation));
  }
  return count;
}
