/**
 * Anti-entropy between two daemons. If their digests of a failure domain differ
 * for some time, the digests are compared bucket by bucket and the records of
 * the differing buckets are exchanged.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { chooseSample } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { getBucketIndex } from "./member_digests.ts";
import { divideIntoDatagrams } from "./take_within_bytes.ts";

/** Time that a digest mismatch must persist before it is repaired, in milliseconds. */
const REPAIR_DELAY_MS = 2_000;

/**
 * Minimum time between two comparisons of a failure domain, in milliseconds;
 * randomly extended up to twofold.
 */
const MIN_COMPARE_INTERVAL_MS = 700;

/** Maximum number of datagrams with records sent per comparison. */
const MAX_DATAGRAMS = 6;

/** Maximum number of differing buckets repaired per comparison. */
const MAX_BUCKETS = 12;

/** Number of known records in a failure domain below which a mismatch is repaired immediately. */
const MIN_RECORDS_FOR_DELAY = 3;

/** Maximum number of failure domains whose differences are tracked. */
const MAX_DOMAINS = 256;

interface DigestMismatch {
  readonly sinceMs: number;
  nextCompareAtMs: number;
}

/** Detects and repairs differences between two daemons' records of a failure domain. */
export class AntiEntropy {
  readonly #context: GossipContext;
  readonly #mismatches = new Map<string, DigestMismatch>();

  constructor(context: GossipContext) {
    this.#context = context;
  }

  /** Compares the digest in a message with the local digest of the sender's failure domain. */
  compareDigest(
    { digest, failureDomain }: GossipMessage,
    source: string,
  ): void {
    if (!this.#holdsAllRecords(failureDomain)) {
      return;
    }
    const { clock, random, table } = this.#context;
    if (table.digests.total(failureDomain) === digest) {
      this.#mismatches.delete(failureDomain);
      return;
    }
    const nowMs = clock.monotonicMs();
    const known = this.#mismatches.get(failureDomain);
    if (!known && this.#mismatches.size >= MAX_DOMAINS) {
      return;
    }
    const mismatch = known ?? { sinceMs: nowMs, nextCompareAtMs: 0 };
    this.#mismatches.set(failureDomain, mismatch);
    const hasFewRecords =
      table.listDomain(failureDomain).length < MIN_RECORDS_FOR_DELAY;
    const shouldRepair = hasFewRecords ||
      nowMs - mismatch.sinceMs >= REPAIR_DELAY_MS;
    if (shouldRepair && nowMs >= mismatch.nextCompareAtMs) {
      mismatch.nextCompareAtMs = nowMs +
        MIN_COMPARE_INTERVAL_MS * (1 + random.nextFloat());
      this.sendDigest(failureDomain, source, false);
    }
  }

  /** Sends the digests of all buckets of a failure domain. */
  sendDigest(scope: string, target: string, isReply: boolean): void {
    const { link, table } = this.#context;
    link.send(target, {
      kind: "digest",
      sequence: 0,
      scope,
      isReply,
      buckets: table.digests.list(scope),
      records: [],
    });
  }

  /** Sends the records of the buckets whose digests differ from the sender's. */
  handleDigest(message: GossipMessage, source: string): void {
    const { scope = "", buckets = [], isReply } = message;
    if (!this.#holdsAllRecords(scope)) {
      return;
    }
    const { link, random, table } = this.#context;
    const ownBuckets = table.digests.list(scope);
    const differing = ownBuckets.flatMap((digest, index) =>
      digest === buckets[index] ? [] : [index]
    );
    if (differing.length === 0) {
      return;
    }
    const selected = new Set(chooseSample(random, differing, MAX_BUCKETS));
    const records = this.#listIncludingDead(scope).filter(({ incarnation }) =>
      selected.has(getBucketIndex(incarnation))
    );
    for (
      const batch of divideIntoDatagrams(records).slice(0, MAX_DATAGRAMS)
    ) {
      link.send(source, {
        kind: "push",
        sequence: 0,
        isReply: true,
        records: batch,
      });
    }
    if (!isReply) {
      this.sendDigest(scope, source, true);
    }
  }

  #listIncludingDead(scope: string): MemberRecord[] {
    const { table } = this.#context;
    const others = [...table.listDead(), ...table.listNotices()].filter((
      { failureDomain },
    ) => failureDomain === scope);
    return [...table.listDomain(scope), ...others];
  }

  #holdsAllRecords(failureDomain: string): boolean {
    const { isDelegate, table } = this.#context;
    return failureDomain === table.self.failureDomain || isDelegate();
  }
}
