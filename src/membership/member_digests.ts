/**
 * Incrementally updated digests of the records of each failure domain, which let
 * two daemons find where their records differ.
 */

import type { MemberRecord } from "../generated/types.ts";
import { hashText } from "../hashing/mod.ts";
import { isNotice } from "./notice_record.ts";

/** Number of digest buckets per failure domain. */
export const DIGEST_BUCKETS = 64;

/**
 * Digests by failure domain. Dead members are excluded because daemons remove
 * them at different times.
 */
export class MemberDigests {
  readonly #buckets = new Map<string, Uint32Array>();

  /** Adds a record to its bucket's digest, or removes it if already added. */
  toggle(record: MemberRecord): void {
    if (record.state === "dead" && !isNotice(record)) {
      return;
    }
    const buckets = this.#buckets.get(record.failureDomain) ??
      new Uint32Array(DIGEST_BUCKETS);
    this.#buckets.set(record.failureDomain, buckets);
    const index = getBucketIndex(record.incarnation);
    const recordHash = hashText(`${record.version}/${record.incarnation}`);
    buckets[index] = (buckets[index] ?? 0) ^ recordHash;
    if (buckets.every((bucket) => bucket === 0)) {
      this.#buckets.delete(record.failureDomain);
    }
  }

  /** Returns the combined digest of a failure domain. */
  total(failureDomain: string): number {
    const buckets = this.#buckets.get(failureDomain);
    return buckets
      ? buckets.reduce((digest, bucket) => digest ^ bucket, 0) >>> 0
      : 0;
  }

  /** Returns the bucket digests of a failure domain. */
  list(failureDomain: string): number[] {
    return [
      ...this.#buckets.get(failureDomain) ?? new Uint32Array(DIGEST_BUCKETS),
    ];
  }
}

/**
 * Returns the digest bucket of an incarnation.
 *
 * @param incarnation - Incarnation of a member
 * @returns Bucket index in [0, {@link DIGEST_BUCKETS})
 *
 * @example
 * const mine = records.filter(({ incarnation }) => getBucketIndex(incarnation) === index);
 */
export function getBucketIndex(incarnation: string): number {
  return hashText(incarnation) % DIGEST_BUCKETS;
}
