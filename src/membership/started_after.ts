/**
 * Start order of processes at the same address.
 */

import type { MemberRecord } from "../generated/types.ts";

/**
 * Checks whether a process started after another. Equal start times are ordered
 * by incarnation.
 *
 * @param record - Record of the process
 * @param other - Record of the process to compare with
 * @returns Whether the first process started later
 *
 * @example
 * if (startedAfter(record, holder)) replace(holder);
 */
export function startedAfter(
  record: MemberRecord,
  other: MemberRecord,
): boolean {
  return record.startedAtMs === other.startedAtMs
    ? record.incarnation > other.incarnation
    : record.startedAtMs > other.startedAtMs;
}
