/**
 * Member records for tests.
 */

import type { MemberRecord } from "../generated/types.ts";

/**
 * Creates the record of an instance of the service `stock` in the failure domain
 * `gent-a`.
 *
 * @param incarnation - Incarnation of the instance
 * @param changes - Fields to override
 * @returns The record
 *
 * @example
 * const record = createMemberRecord("one", { failureDomain: "gent-b" });
 */
export function createMemberRecord(
  incarnation: string,
  changes: Partial<MemberRecord> = {},
): MemberRecord {
  return {
    incarnation,
    address: "127.0.0.1",
    peerPort: 7102,
    region: "vlaanderen",
    failureDomain: "gent-a",
    startedAtMs: 0,
    version: 1,
    state: "alive",
    service: "stock",
    slots: 16,
    inFlight: 0,
    warmAtMs: 0,
    successor: "",
    ...changes,
  };
}
