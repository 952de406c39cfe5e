/**
 * Table of the member records known to one daemon, including the rules for
 * merging received records.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";
import type { EvictionLimiter } from "./eviction_limiter.ts";
import { formatGossipAddress } from "./gossip_context.ts";
import { startedAfter } from "./started_after.ts";
import { MemberIndex } from "./member_index.ts";
import { isExpiredNotice, isNotice } from "./notice_record.ts";
import { MemberDigests } from "./member_digests.ts";
import { supersedes } from "./supersedes.ts";

/** Time for which the record of a dead member is kept, in milliseconds. */
export const DEAD_RETENTION_MS = 600_000;

/** Maximum number of dead members kept. */
const MAX_DEAD_MEMBERS = 4_096;

/** Maximum number of records that carry notices; beyond it, the oldest is removed. */
const MAX_NOTICES = 1_024;

/** Number of records, including dead members, at which records of new members are rejected. */
const MAX_MEMBERS = 20_000;

/** Results of merging a received record. */
export const MERGE_OUTCOMES = {
  changed: "changed",
  unchanged: "unchanged",
  /** The known record is newer. */
  stale: "stale",
  /** The eviction limiter refused the eviction, or the table is full. */
  rejected: "rejected",
} as const;

/** One of {@link MERGE_OUTCOMES}. */
export type MergeOutcome = (typeof MERGE_OUTCOMES)[keyof typeof MERGE_OUTCOMES];

/** Called on each change. The previous record is undefined for a new member. */
export type MemberChangeListener = (
  record: MemberRecord,
  previous: MemberRecord | undefined,
) => void;

/** Dependencies of a table. */
export interface MemberTableOptions {
  readonly self: MemberRecord;
  readonly clock: Clock;
  readonly evictionLimiter: EvictionLimiter;
  readonly onChange: MemberChangeListener;
}

interface TableEntry {
  readonly record: MemberRecord;
  readonly position: number;
}

/** Member records by incarnation, in order of their latest change. */
export class MemberTable {
  readonly digests = new MemberDigests();
  readonly #options: MemberTableOptions;
  readonly #entries = new Map<string, TableEntry>();
  readonly #byAddress = new Map<string, string>();
  readonly #byService = new MemberIndex();
  readonly #byDomain = new MemberIndex();
  readonly #deadSinceMs = new Map<string, number>();
  /** Incarnations of the records that carry notices, oldest first. */
  readonly #notices = new Set<string>();
  readonly #ownIncarnation: string;
  #position = 0;

  constructor(options: MemberTableOptions) {
    this.#options = options;
    this.#ownIncarnation = options.self.incarnation;
    this.#put(options.self);
  }

  /** This daemon's own record. */
  get self(): MemberRecord {
    return this.get(this.#ownIncarnation) ?? this.#options.self;
  }

  /** Sequence number of the latest change. */
  get position(): number {
    return this.#position;
  }

  /** Number of records, including dead members. */
  get size(): number {
    return this.#entries.size;
  }

  /** Returns the record of an incarnation, or undefined. */
  get(incarnation: string): MemberRecord | undefined {
    return this.#entries.get(incarnation)?.record;
  }

  /** Lists all records. */
  list(): MemberRecord[] {
    return [...this.#entries.values()].map(({ record }) => record);
  }

  /** Lists the records of a service, excluding dead members. */
  listService(service: string): MemberRecord[] {
    return this.#getRecords(this.#byService.get(service));
  }

  /** Lists the records of a failure domain, excluding dead members. */
  listDomain(failureDomain: string): MemberRecord[] {
    return this.#getRecords(this.#byDomain.get(failureDomain));
  }

  /** Lists the failure domains with a member that is not dead. */
  listDomains(): string[] {
    return this.#byDomain.names;
  }

  /** Lists the dead members, longest dead first. */
  listDead(): MemberRecord[] {
    return this.#getRecords(new Set(this.#deadSinceMs.keys()));
  }

  /** Lists the records that carry notices, oldest first. */
  listNotices(): MemberRecord[] {
    return this.#getRecords(this.#notices);
  }

  /** Yields the records that changed after a position, in order of change. */
  *listChangedAfter(
    position: number,
  ): Generator<{ record: MemberRecord; position: number }> {
    if (position >= this.#position) {
      return;
    }
    for (const entry of this.#entries.values()) {
      if (entry.position > position) {
        yield entry;
      }
    }
  }

  /** Merges a received record. */
  merge(record: MemberRecord): MergeOutcome {
    if (record.incarnation === this.#ownIncarnation) {
      return this.#refuteOwnRecord(record);
    }
    const known = this.get(record.incarnation);
    if (known && !supersedes(record, known)) {
      return record.version === known.version
        ? MERGE_OUTCOMES.unchanged
        : MERGE_OUTCOMES.stale;
    }
    if (!known && this.#entries.size >= MAX_MEMBERS) {
      return MERGE_OUTCOMES.rejected;
    }
    if (isNotice(record)) {
      return this.#mergeNotice(record, known);
    }
    const next = this.#resolveAddressConflict(record);
    const hasConflict = next !== record;
    if (known && !hasConflict && isEviction(next, known)) {
      if (!this.#tryEvict(known)) {
        return MERGE_OUTCOMES.rejected;
      }
    }
    this.#change(next, known);
    return MERGE_OUTCOMES.changed;
  }

  #mergeNotice(
    record: MemberRecord,
    known: MemberRecord | undefined,
  ): MergeOutcome {
    const isRejected = record.state !== "dead" ||
      isExpiredNotice(record, this.#options.clock.nowMs());
    if (isRejected) {
      return MERGE_OUTCOMES.rejected;
    }
    this.#change(record, known);
    this.#notices.delete(record.incarnation);
    this.#notices.add(record.incarnation);
    const [oldest = ""] = this.#notices;
    if (this.#notices.size > MAX_NOTICES) {
      this.remove(oldest);
    }
    return MERGE_OUTCOMES.changed;
  }

  /** Updates this daemon's own record and increments its version. */
  changeSelf(change: Partial<MemberRecord>): void {
    const known = this.self;
    this.#change({ ...known, ...change, version: known.version + 1 }, known);
  }

  /** Removes a record, unless it is this daemon's own. */
  remove(incarnation: string): void {
    const entry = this.#entries.get(incarnation);
    if (entry && incarnation !== this.#ownIncarnation) {
      this.#removeFromIndexes(entry.record);
      this.#entries.delete(incarnation);
      this.#deadSinceMs.delete(incarnation);
    }
    this.#notices.delete(incarnation);
  }

  /** Removes notices that have expired. */
  removeExpiredNotices(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const incarnation of this.#notices) {
      const record = this.get(incarnation);
      if (!record || isExpiredNotice(record, nowMs)) {
        this.remove(incarnation);
      }
    }
  }

  /** Removes dead members whose retention time has passed or that exceed the maximum number. */
  removeExpiredDead(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [incarnation, sinceMs] of this.#deadSinceMs) {
      const isOverLimit = this.#deadSinceMs.size > MAX_DEAD_MEMBERS;
      if (nowMs - sinceMs < DEAD_RETENTION_MS && !isOverLimit) {
        return;
      }
      this.remove(incarnation);
    }
  }

  /** Refutes an incorrect record of this daemon by raising its version. */
  #refuteOwnRecord(record: MemberRecord): MergeOutcome {
    const { self } = this;
    if (record.version < self.version) {
      return MERGE_OUTCOMES.stale;
    }
    const isAccurate = record.version === self.version &&
      record.state === self.state;
    if (isAccurate || self.state === "dead") {
      return MERGE_OUTCOMES.unchanged;
    }
    this.#change({ ...self, version: record.version + 1 }, self);
    return MERGE_OUTCOMES.stale;
  }

  #tryEvict(record: MemberRecord): boolean {
    const { failureDomain, service } = record;
    return this.#options.evictionLimiter.tryEvict(record, {
      inDomain: this.#byDomain.get(failureDomain).size,
      inService: this.#byService.get(service).size,
    });
  }

  /** Returns the member at a gossip address, if it is known. */
  findByAddress(gossipAddress: string): MemberRecord | undefined {
    const incarnation = this.#byAddress.get(gossipAddress);
    return incarnation === undefined ? undefined : this.get(incarnation);
  }

  /**
   * Only the most recently started of two incarnations at an address can be
   * alive; marks the other as dead.
   */
  #resolveAddressConflict(record: MemberRecord): MemberRecord {
    const holder = this.findByAddress(formatGossipAddress(record));
    if (!holder || holder.incarnation === record.incarnation) {
      return record;
    }
    if (holder.incarnation === this.#ownIncarnation) {
      this.#keepOwnAddress(record);
      return { ...record, state: "dead" };
    }
    if (!startedAfter(record, holder)) {
      return { ...record, state: "dead" };
    }
    if (holder.state !== "dead") {
      this.#change({ ...holder, state: "dead" }, holder);
    }
    return record;
  }

  /**
   * This process is bound to the address, so it takes precedence even if its
   * start time is earlier due to clock skew.
   */
  #keepOwnAddress(other: MemberRecord): void {
    if (startedAfter(other, this.self)) {
      this.changeSelf({ startedAtMs: other.startedAtMs + 1 });
    }
  }

  #change(record: MemberRecord, previous: MemberRecord | undefined): void {
    this.#put(record);
    this.#options.onChange(record, previous);
  }

  #put(record: MemberRecord): void {
    const known = this.get(record.incarnation);
    if (known) {
      this.#removeFromIndexes(known);
      this.#entries.delete(record.incarnation);
    }
    this.#position += 1;
    this.#entries.set(record.incarnation, {
      record,
      position: this.#position,
    });
    this.digests.toggle(record);
    if (isNotice(record)) {
      return;
    }
    this.#indexAddress(record);
    if (record.state === "dead") {
      const nowMs = this.#options.clock.monotonicMs();
      const sinceMs = this.#deadSinceMs.get(record.incarnation) ?? nowMs;
      this.#deadSinceMs.set(record.incarnation, sinceMs);
      return;
    }
    this.#deadSinceMs.delete(record.incarnation);
    this.#byDomain.add(record.failureDomain, record.incarnation);
    this.#byService.add(record.service, record.incarnation);
  }

  #indexAddress(record: MemberRecord): void {
    const endpoint = formatGossipAddress(record);
    const holder = this.get(this.#byAddress.get(endpoint) ?? "");
    if (!holder || startedAfter(record, holder)) {
      this.#byAddress.set(endpoint, record.incarnation);
    }
  }

  #removeFromIndexes(record: MemberRecord): void {
    this.digests.toggle(record);
    this.#byDomain.remove(record.failureDomain, record.incarnation);
    this.#byService.remove(record.service, record.incarnation);
    const endpoint = formatGossipAddress(record);
    if (this.#byAddress.get(endpoint) === record.incarnation) {
      this.#byAddress.delete(endpoint);
    }
  }

  #getRecords(incarnations: ReadonlySet<string>): MemberRecord[] {
    const records: MemberRecord[] = [];
    for (const incarnation of incarnations) {
      const record = this.get(incarnation);
      if (record) {
        records.push(record);
      }
    }
    return records;
  }
}

function isEviction(next: MemberRecord, known: MemberRecord): boolean {
  return next.state === "dead" && known.state !== "leaving" &&
    known.state !== "dead";
}
