/**
 * Repair of differences between two daemons: where the fingerprints of a
 * failure domain differ for some time, they are compared part by part and the
 * records of differing parts are exchanged.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { chooseSeveral } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { findBucket } from "./member_digests.ts";
import { divideIntoDatagrams } from "./take_within_bytes.ts";

/** Time for which a difference lasts before it is repaired, in milliseconds. */
const PATIENCE_MS = 2_000;

/** Shortest time between two comparisons of one failure domain, in milliseconds. */
const COMPARE_INTERVAL_MS = 700;

/** Datagrams of records sent for one comparison. */
const MAX_DATAGRAMS = 6;

/** Differing parts that one comparison repairs. */
const MAX_PARTS = 12;

/** Records known of a failure domain below which no patience is shown. */
const FEW_RECORDS = 3;

interface Difference {
  readonly sinceMs: number;
  nextCompareAtMs: number;
}

/** Compares and repairs what two daemons know of a failure domain. */
export class AntiEntropy {
  readonly #context: GossipContext;
  readonly #differences = new Map<string, Difference>();

  constructor(context: GossipContext) {
    this.#context = context;
  }

  /** Looks at the fingerprint that a message carries of its sender's failure domain. */
  noteDigest({ digest, failureDomain }: GossipMessage, source: string): void {
    if (!this.#holdsAll(failureDomain)) {
      return;
    }
    const { clock, random, table } = this.#context;
    if (table.digests.total(failureDomain) === digest) {
      this.#differences.delete(failureDomain);
      return;
    }
    const nowMs = clock.monotonicMs();
    const known = this.#differences.get(failureDomain) ??
      { sinceMs: nowMs, nextCompareAtMs: 0 };
    this.#differences.set(failureDomain, known);
    const isNew = table.listDomain(failureDomain).length < FEW_RECORDS;
    const isLasting = isNew || nowMs - known.sinceMs >= PATIENCE_MS;
    if (isLasting && nowMs >= known.nextCompareAtMs) {
      known.nextCompareAtMs = nowMs +
        COMPARE_INTERVAL_MS * (1 + random.nextFloat());
      this.sendDigest(failureDomain, source, false);
    }
  }

  /** Sends the fingerprints of all parts of a failure domain. */
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

  /** Sends the records of the parts in which the sender of a digest differs. */
  handleDigest(message: GossipMessage, source: string): void {
    const { scope = "", buckets = [], isReply } = message;
    if (!this.#holdsAll(scope)) {
      return;
    }
    const { link, random, table } = this.#context;
    const own = table.digests.list(scope);
    const differing = own.flatMap((part, index) =>
      part === buckets[index] ? [] : [index]
    );
    if (differing.length === 0) {
      return;
    }
    const parts = new Set(chooseSeveral(random, differing, MAX_PARTS));
    const records = this.#listWithDead(scope).filter(({ incarnation }) =>
      parts.has(findBucket(incarnation))
    );
    for (
      const part of divideIntoDatagrams(records).slice(0, MAX_DATAGRAMS)
    ) {
      link.send(source, {
        kind: "push",
        sequence: 0,
        isReply: true,
        records: part,
      });
    }
    if (!isReply) {
      this.sendDigest(scope, source, true);
    }
  }

  #listWithDead(scope: string): MemberRecord[] {
    const { table } = this.#context;
    const dead = table.listDead().filter(({ failureDomain }) =>
      failureDomain === scope
    );
    return [...table.listDomain(scope), ...dead];
  }

  #holdsAll(failureDomain: string): boolean {
    const { isDelegate, table } = this.#context;
    return failureDomain === table.self.failureDomain || isDelegate();
  }
}
