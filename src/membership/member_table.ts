/**
 * The member records that one daemon knows, with the rules by which a record
 * replaces another.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";
import type { EvictionLimiter } from "./eviction_guard.ts";
import { nameTarget } from "./gossip_context.ts";
import { isStartedLater } from "./is_started_later.ts";
import { MemberIndex } from "./member_index.ts";
import { MemberDigests } from "./member_digests.ts";
import { supersedes } from "./supersedes.ts";

/** Time for which a dead member is remembered, in milliseconds. */
export const DEAD_RETENTION_MS = 600_000;

/** Dead members that are remembered. */
const MAX_DEAD_MEMBERS = 4_096;

/** Members that are remembered. */
const MAX_MEMBERS = 20_000;

/** What became of a record that arrived. */
export const MERGE_OUTCOMES = {
  changed: "changed",
  unchanged: "unchanged",
  /** What is known is newer. */
  stale: "stale",
  /** The eviction is held back by the guard. */
  held: "held",
} as const;

/** One of {@link MERGE_OUTCOMES}. */
export type MergeOutcome = (typeof MERGE_OUTCOMES)[keyof typeof MERGE_OUTCOMES];

/** Told of each change; the previous record is undefined for a new member. */
export type MemberListener = (
  record: MemberRecord,
  previous: MemberRecord | undefined,
) => void;

/** Dependencies of a table. */
export interface MemberTableOptions {
  readonly self: MemberRecord;
  readonly clock: Clock;
  readonly evictionLimiter: EvictionLimiter;
  readonly onChange: MemberListener;
}

interface Entry {
  readonly record: MemberRecord;
  readonly position: number;
}

/** Records by incarnation, in the order of their latest change. */
export class MemberTable {
  readonly digests = new MemberDigests();
  readonly #options: MemberTableOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #byAddress = new Map<string, string>();
  readonly #byService = new MemberIndex();
  readonly #byDomain = new MemberIndex();
  readonly #deadSinceMs = new Map<string, number>();
  readonly #ownIncarnation: string;
  #position = 0;

  constructor(options: MemberTableOptions) {
    this.#options = options;
    this.#ownIncarnation = options.self.incarnation;
    this.#put(options.self);
  }

  /** The own record. */
  get self(): MemberRecord {
    return this.get(this.#ownIncarnation) ?? this.#options.self;
  }

  /** Place of the latest change in the order of changes. */
  get position(): number {
    return this.#position;
  }

  /** Number of records, dead ones included. */
  get size(): number {
    return this.#entries.size;
  }

  /** The record of an incarnation. */
  get(incarnation: string): MemberRecord | undefined {
    return this.#entries.get(incarnation)?.record;
  }

  /** Every record. */
  list(): MemberRecord[] {
    return [...this.#entries.values()].map(({ record }) => record);
  }

  /** Records of a service that are not dead. */
  listService(service: string): MemberRecord[] {
    return this.#resolve(this.#byService.get(service));
  }

  /** Records of a failure domain that are not dead. */
  listDomain(failureDomain: string): MemberRecord[] {
    return this.#resolve(this.#byDomain.get(failureDomain));
  }

  /** Failure domains with a member that is not dead. */
  listDomains(): string[] {
    return this.#byDomain.names;
  }

  /** Dead members that are remembered, those longest dead first. */
  listDead(): MemberRecord[] {
    return this.#resolve(new Set(this.#deadSinceMs.keys()));
  }

  /** Records that changed after a place in the order of changes, in that order. */
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

  /** Takes a record that arrived. */
  merge(record: MemberRecord): MergeOutcome {
    if (record.incarnation === this.#ownIncarnation) {
      return this.#hearOfSelf(record);
    }
    const known = this.get(record.incarnation);
    if (known && !supersedes(record, known)) {
      return record.version === known.version
        ? MERGE_OUTCOMES.unchanged
        : MERGE_OUTCOMES.stale;
    }
    if (!known && this.#entries.size >= MAX_MEMBERS) {
      return MERGE_OUTCOMES.held;
    }
    const next = this.#settleAddress(record);
    const isReplaced = next !== record;
    if (known && !isReplaced && isEviction(next, known)) {
      if (!this.#mayEvict(known)) {
        return MERGE_OUTCOMES.held;
      }
    }
    this.#change(next, known);
    return MERGE_OUTCOMES.changed;
  }

  /** Changes the own record. */
  changeSelf(change: Partial<MemberRecord>): void {
    const known = this.self;
    this.#change({ ...known, ...change, version: known.version + 1 }, known);
  }

  /** Forgets a record. */
  forget(incarnation: string): void {
    const entry = this.#entries.get(incarnation);
    if (entry && incarnation !== this.#ownIncarnation) {
      this.#takeOut(entry.record);
      this.#entries.delete(incarnation);
      this.#deadSinceMs.delete(incarnation);
    }
  }

  /** Forgets members that have been dead for too long, or that are too many. */
  forgetDead(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [incarnation, sinceMs] of this.#deadSinceMs) {
      const isTooMany = this.#deadSinceMs.size > MAX_DEAD_MEMBERS;
      if (nowMs - sinceMs < DEAD_RETENTION_MS && !isTooMany) {
        return;
      }
      this.forget(incarnation);
    }
  }

  /** Refutes what others believe wrongly of this daemon. */
  #hearOfSelf(record: MemberRecord): MergeOutcome {
    const { self } = this;
    if (record.version < self.version) {
      return MERGE_OUTCOMES.stale;
    }
    const isTrue = record.version === self.version &&
      record.state === self.state;
    if (isTrue || self.state === "dead") {
      return MERGE_OUTCOMES.unchanged;
    }
    this.#change({ ...self, version: record.version + 1 }, self);
    return MERGE_OUTCOMES.stale;
  }

  #mayEvict(record: MemberRecord): boolean {
    const { failureDomain, service } = record;
    return this.#options.evictionLimiter.tryEvict(record, {
      inDomain: this.#byDomain.get(failureDomain).size,
      inService: this.#byService.get(service).size,
    });
  }

  /** Of two incarnations at one address only the later started can be alive. */
  #settleAddress(record: MemberRecord): MemberRecord {
    const incarnation = this.#byAddress.get(nameTarget(record));
    const holder = incarnation === undefined
      ? undefined
      : this.get(incarnation);
    if (!holder || holder.incarnation === record.incarnation) {
      return record;
    }
    if (holder.incarnation === this.#ownIncarnation) {
      this.#claimAddress(record);
      return { ...record, state: "dead" };
    }
    if (!isStartedLater(record, holder)) {
      return { ...record, state: "dead" };
    }
    if (holder.state !== "dead") {
      this.#change({ ...holder, state: "dead" }, holder);
    }
    return record;
  }

  /** This process holds the address, so it counts as the later one whatever the clocks say. */
  #claimAddress(earlier: MemberRecord): void {
    if (isStartedLater(earlier, this.self)) {
      this.changeSelf({ startedAtMs: earlier.startedAtMs + 1 });
    }
  }

  #change(record: MemberRecord, previous: MemberRecord | undefined): void {
    this.#put(record);
    this.#options.onChange(record, previous);
  }

  #put(record: MemberRecord): void {
    const known = this.get(record.incarnation);
    if (known) {
      this.#takeOut(known);
      this.#entries.delete(record.incarnation);
    }
    this.#position += 1;
    this.#entries.set(record.incarnation, {
      record,
      position: this.#position,
    });
    this.digests.toggle(record);
    this.#noteAddress(record);
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

  #noteAddress(record: MemberRecord): void {
    const name = nameTarget(record);
    const holder = this.get(this.#byAddress.get(name) ?? "");
    if (!holder || isStartedLater(record, holder)) {
      this.#byAddress.set(name, record.incarnation);
    }
  }

  #takeOut(record: MemberRecord): void {
    this.digests.toggle(record);
    this.#byDomain.remove(record.failureDomain, record.incarnation);
    this.#byService.remove(record.service, record.incarnation);
    const name = nameTarget(record);
    if (this.#byAddress.get(name) === record.incarnation) {
      this.#byAddress.delete(name);
    }
  }

  #resolve(incarnations: ReadonlySet<string>): MemberRecord[] {
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
