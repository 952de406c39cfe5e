/**
 * Splitting of records into datagrams.
 */

import type { MemberRecord } from "../generated/types.ts";

/** Maximum size of a datagram, in bytes; below the smallest common path MTU. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Maximum total size of the records in a datagram, in bytes. */
export const MAX_RECORD_BYTES = 950;

/** Size of an encoded record without its strings, in bytes. */
const RECORD_OVERHEAD_BYTES = 52;

/**
 * Returns the longest prefix of the records whose estimated size fits a limit.
 *
 * @param records - Records to select from
 * @param limitBytes - Maximum total size, in bytes
 * @returns The prefix; contains at least one record if there is any, even one that
 *   exceeds the limit
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
 * Splits records into batches that each fit into a datagram.
 *
 * @param records - Records to split
 * @returns Batches in the order of the records
 *
 * @example
 * divideIntoDatagrams(records).forEach((batch) => send(batch));
 */
export function divideIntoDatagrams(
  records: readonly MemberRecord[],
): MemberRecord[][] {
  const batches: MemberRecord[][] = [];
  let remaining = records;
  while (remaining.length > 0) {
    const batch = takeWithinBytes(remaining);
    batches.push(batch);
    remaining = remaining.slice(batch.length);
  }
  return batches;
}

function estimateBytes(record: MemberRecord): number {
  const { incarnation, address, region, failureDomain, service, successor } =
    record;
  const domains = record.unreachableDomains ?? [];
  return RECORD_OVERHEAD_BYTES + incarnation.length + address.length +
    region.length + failureDomain.length + service.length + successor.length +
    domains.reduce((sum, domain) => sum + domain.length + 1, 0);
}
