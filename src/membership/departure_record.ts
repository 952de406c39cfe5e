/**
 * Records of backend servers that left.
 *
 * A daemon that is started again does not know that its predecessor acknowledged
 * that the backend server leaves, and late announcements would bring the server
 * back. The departure is therefore a record of its own, that of a dead member at
 * the address of the daemon: the members keep it as they keep any dead member,
 * those of older builds too, and return it to the daemon that joins from there.
 */

import type { MemberRecord } from "../generated/types.ts";
import { formatGossipAddress } from "./gossip_context.ts";

/** Maximum length of an incarnation. */
const MAX_INCARNATION_LENGTH = 128;

/** Separates the address of the daemon from the id of the server; no other incarnation contains it there. */
const SEPARATOR = "#";

/**
 * Creates the record of a server's departure.
 *
 * @param self - Record of the daemon beside the server
 * @param serverId - Id of the server
 * @returns The record, or undefined if the id is too long for one
 *
 * @example
 * const record = createDepartureRecord(table.self, "i-7f3a/1769576915086");
 */
export function createDepartureRecord(
  self: MemberRecord,
  serverId: string,
): MemberRecord | undefined {
  const incarnation = `${formatGossipAddress(self)}${SEPARATOR}${serverId}`;
  const { address, peerPort, region, failureDomain } = self;
  return incarnation.length > MAX_INCARNATION_LENGTH ? undefined : {
    ...{ incarnation, address, peerPort, region, failureDomain },
    // Earlier than any process, so that it takes no address from one.
    startedAtMs: 0,
    version: 1,
    state: "dead",
    service: "",
    ...{ slots: 0, inFlight: 0, warmAtMs: 0, successor: "" },
  };
}

/**
 * Returns the id of the server whose departure a record tells.
 *
 * @param record - A record of any kind
 * @returns The id, or undefined if the record tells no departure
 *
 * @example
 * const serverId = readDeparture(record);
 */
export function readDeparture(record: MemberRecord): string | undefined {
  const prefix = `${formatGossipAddress(record)}${SEPARATOR}`;
  return record.incarnation.startsWith(prefix)
    ? record.incarnation.slice(prefix.length)
    : undefined;
}
