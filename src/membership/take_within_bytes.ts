/**
 * Division of records into datagrams.
 */

import type { MemberRecord } from "../generated/types.ts";

/** Largest datagram, in bytes; below the smallest usual path MTU. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Room for records in a datagram, in bytes. */
export const MAX_RECORD_BYTES = 950;

/** Bytes of an encoded record without its texts. */
const RECORD_FRAME_BYTES = 52;

/**
 * Takes the first records that fit into a number of bytes.
 *
 * @param records - The records
 * @param limitBytes - Room for them
 * @returns The first records; at least one if there is any
 *
 * @example
 * const piggybacked = takeWithinBytes(rumors, 400);
 */
export function takeWithinBytes(
  records: readonly MemberRecord[],
  limitBytes = MAX_RECORD_BYTES,
): MemberRecord[] {
  let bytes = 0;
  const count = records.findIndex((record) => {
    bytes += estimateBytes(record);
    return bytes > limitBytes;
  });
  return records.slice(0, count === -1 ? records.length : Math.max(1, count));
}

/**
 * Divides records into parts that each fit into a datagram.
 *
 * @param records - The records
 * @returns The parts, in order
 *
 * @example
 * divideIntoDatagrams(records).forEach((part) => send(part));
 */
export function divideIntoDatagrams(
  records: readonly MemberRecord[],
): MemberRecord[][] {
  const parts: MemberRecord[][] = [];
  let rest = records;
  while (rest.length > 0) {
    const part = takeWithinBytes(rest);
    parts.push(part);
    rest = rest.slice(part.length);
  }
  return parts;
}

function estimateBytes(record: MemberRecord): number {
  const { incarnation, address, region, failureDomain, service, successor } =
    record;
  const domains = record.unreachableDomains ?? [];
  return RECORD_FRAME_BYTES + incarnation.length + address.length +
    region.length + failureDomain.length + service.length + successor.length +
    domains.reduce((sum, domain) => sum + domain.length + 1, 0);
}
