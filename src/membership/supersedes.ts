/**
 * Ordering of records of the same incarnation.
 */

import type { MemberRecord } from "../generated/types.ts";

const STATE_RANK = { alive: 0, leaving: 0, suspect: 1, dead: 2 } as const;

/**
 * Checks whether a record replaces a known one of the same incarnation.
 *
 * Only the member itself raises the version. Within a version, other members
 * can only move the state towards dead. A leaving member never becomes suspect
 * again.
 *
 * @param next - Received record
 * @param known - Known record
 * @returns Whether the received record replaces the known one
 *
 * @example
 * if (supersedes(record, known)) put(record);
 */
export function supersedes(next: MemberRecord, known: MemberRecord): boolean {
  if (next.version !== known.version) {
    return next.version > known.version;
  }
  if (known.state === "leaving" && next.state === "suspect") {
    return false;
  }
  return STATE_RANK[next.state] > STATE_RANK[known.state];
}
