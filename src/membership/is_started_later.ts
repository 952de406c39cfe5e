/**
 * Order among processes at one address.
 */

import type { MemberRecord } from "../generated/types.ts";

/**
 * Tells whether a process started after another.
 *
 * @param one - Record of the process
 * @param other - Record of the other process
 * @returns Whether the first one is the later
 *
 * @example
 * if (isStartedLater(record, holder)) replace(holder);
 */
export function isStartedLater(
  one: MemberRecord,
  other: MemberRecord,
): boolean {
  return one.startedAtMs === other.startedAtMs
    ? one.incarnation > other.incarnation
    : one.startedAtMs > other.startedAtMs;
}
