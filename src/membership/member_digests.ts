/**
 * Fingerprints of the records of each failure domain, kept up to date record
 * by record, so that two daemons find where they differ.
 */

import type { MemberRecord } from "../generated/types.ts";
import { hashText } from "../hashing/mod.ts";

/** Parts into which the records of a failure domain are divided. */
export const DIGEST_BUCKETS = 64;

/** Fingerprints by failure domain. Dead members do not count, since they are forgotten at different times. */
export class MemberDigests {
  readonly #buckets = new Map<string, Uint32Array>();

  /** Adds a record that was not there, or takes out one that was. */
  toggle(record: MemberRecord): void {
    if (record.state === "dead") {
      return;
    }
    const buckets = this.#buckets.get(record.failureDomain) ??
      new Uint32Array(DIGEST_BUCKETS);
    this.#buckets.set(record.failureDomain, buckets);
    const index = findBucket(record.incarnation);
    const fingerprint = hashText(`${record.version}/${record.incarnation}`);
    buckets[index] = (buckets[index] ?? 0) ^ fingerprint;
  }

  /** Fingerprint of a whole failure domain. */
  total(failureDomain: string): number {
    const buckets = this.#buckets.get(failureDomain);
    return buckets ? buckets.reduce((sum, part) => sum ^ part, 0) >>> 0 : 0;
  }

  /** Fingerprints of the parts of a failure domain. */
  list(failureDomain: string): number[] {
    return [
      ...this.#buckets.get(failureDomain) ?? new Uint32Array(DIGEST_BUCKETS),
    ];
  }
}

/**
 * Finds the part that an incarnation belongs to.
 *
 * @param incarnation - The incarnation
 * @returns Index of the part
 *
 * @example
 * const mine = records.filter(({ incarnation }) => findBucket(incarnation) === index);
 */
export function findBucket(incarnation: string): number {
  return hashText(incarnation) % DIGEST_BUCKETS;
}
