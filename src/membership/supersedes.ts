/**
 * Order among records of one incarnation.
 */

import type { MemberRecord } from "../generated/types.ts";

const STATE_RANK = { alive: 0, leaving: 0, suspect: 1, dead: 2 } as const;

/**
 * Tells whether a record replaces a known one of the same incarnation.
 *
 * The member itself raises the version; others only move a version towards
 * dead. A member that leaves is never moved back to suspect.
 *
 * @param next - The record that arrived
 * @param known - The record that is known
 * @returns Whether to take the record that arrived
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
