/**
 * The fleet as one daemon sees it by gossip.
 *
 * Only delegates know all members. A delegate that was started while its failure
 * domain is partitioned does not, so delegates compare their numbers and use the
 * highest, once a second while there are requests of limited accounts. Every other daemon asks one of the delegates
 * of its failure domain for the directory, as often. Until a directory has been complete for a while, the
 * number of members is taken as at least that of the own failure domain times
 * the number of failure domains, since too small a number would allow too much.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import { hashText } from "../hashing/mod.ts";
import { chooseDelegates } from "../membership/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";
import { AllowanceFleet } from "./allowance_fleet.ts";
import type { FleetMember } from "./allowance_fleet.ts";
import {
  createFleetDirectory,
  MAX_DAEMONS_PER_HOLDER,
} from "./create_fleet_directory.ts";
import type { FleetDirectory } from "./create_fleet_directory.ts";
import type { SilentMembers } from "./silent_members.ts";

/** Interval at which the directory is created or requested, in milliseconds. */
const REFRESH_MS = 1_000;

/** Time after which a request for the directory is repeated, in milliseconds. */
const RETRY_MS = 300;

/** Age from which on a directory or number of another daemon is not relied on, in milliseconds. */
const MAX_AGE_MS = 5_000;

/** Time for which a delegate may not know all members yet, after it has started or become one, in milliseconds. */
const LEARNING_MS = 5_000;

/** Dependencies of the view. */
export interface GossipFleetOptions {
  readonly membership: Membership;
  readonly configuration: ConfigurationHolder;
  readonly silent: SilentMembers;
  readonly clock: Clock;
  /** Requests a delegate's directory; candidates are left out if they have the known digest. */
  readonly fetchDirectory: (
    delegate: FleetMember,
    knownDigest: number,
  ) => Promise<Partial<FleetDirectory> | undefined>;
}

interface KnownCount {
  readonly count: number;
  readonly atMs: number;
}

/** Follows the membership. */
export class GossipFleet extends AllowanceFleet {
  readonly #options: GossipFleetOptions;
  readonly #listeners = new Set<() => void>();
  /** Numbers of members that the other delegates know. */
  readonly #knownCounts = new Map<string, KnownCount>();
  #directory: FleetDirectory = {
    ...{ memberCount: 0, knownCount: 0, candidates: [], digest: 0 },
  };
  #members: readonly FleetMember[] = [];
  #isKnown = false;
  #refreshedAtMs = Number.NEGATIVE_INFINITY;
  #requestedAtMs = Number.NEGATIVE_INFINITY;
  #attempt = 0;
  /** Since when this daemon is a delegate; undefined if it is none. */
  #delegateSinceMs: number | undefined;

  /** Creates the view when the process starts. */
  constructor(options: GossipFleetOptions) {
    super();
    this.#options = options;
    this.#delegateSinceMs = options.clock.monotonicMs();
  }

  override get self(): string {
    return this.#options.membership.self.incarnation;
  }

  override get memberCount(): number {
    return this.#isKnown ? this.#directory.memberCount : 0;
  }

  override listCandidates(): readonly FleetMember[] {
    return this.#directory.candidates;
  }

  override listMembers(): readonly FleetMember[] {
    return this.#members;
  }

  override onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  override refresh(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - this.#refreshedAtMs < REFRESH_MS) {
      return;
    }
    const records = this.#options.membership.listAll();
    const delegates = chooseDelegates(this.#listOwnDomain(records));
    if (delegates.some(({ incarnation }) => incarnation === this.self)) {
      this.#compareCounts(delegates);
      this.#create(records, nowMs);
    } else {
      this.#delegateSinceMs = undefined;
      this.#members = [];
      this.#request(delegates, nowMs);
    }
  }

  /** Returns the directory for a member of this failure domain; undefined if this daemon does not know the whole fleet. */
  provide(): FleetDirectory | undefined {
    this.refresh();
    return this.#delegateSinceMs === undefined ? undefined : this.#directory;
  }

  #create(records: readonly MemberRecord[], nowMs: number): void {
    const { membership, silent } = this.#options;
    const { self } = membership;
    const wasKnown = this.#isKnown;
    this.#delegateSinceMs ??= nowMs;
    const unreachable = self.unreachableDomains ?? [];
    const ownDomain = self.failureDomain;
    const directory = createFleetDirectory(records, {
      ...{ silent, unreachable, ownDomain },
    });
    const isLearning = nowMs - this.#delegateSinceMs < LEARNING_MS;
    this.#members = records.filter(({ incarnation, state, failureDomain }) =>
      state !== "dead" && incarnation !== self.incarnation &&
      !unreachable.includes(failureDomain) &&
      (failureDomain === ownDomain ||
        directory.knownCount <= MAX_DAEMONS_PER_HOLDER)
    );
    const others = [...this.#knownCounts.values()]
      .map(({ count, atMs }) => nowMs - atMs < MAX_AGE_MS ? count : 0);
    const estimate = isLearning ? this.#estimate(records) : 0;
    const memberCount = Math.max(directory.knownCount, estimate, ...others);
    this.#use({ ...directory, memberCount }, nowMs);
    if (!wasKnown) {
      this.#notify();
    }
  }

  /** Requests the numbers that the other delegates know. */
  #compareCounts(delegates: readonly MemberRecord[]): void {
    const incarnations = delegates.map(({ incarnation }) => incarnation);
    for (const incarnation of this.#knownCounts.keys()) {
      if (!incarnations.includes(incarnation)) {
        this.#knownCounts.delete(incarnation);
      }
    }
    for (const delegate of delegates) {
      if (delegate.incarnation !== this.self) {
        void this.#options.fetchDirectory(delegate, this.#directory.digest)
          .then((fetched) => this.#addCount(delegate.incarnation, fetched));
      }
    }
  }

  #addCount(
    incarnation: string,
    { knownCount: count = 0 }: Partial<FleetDirectory> = {},
  ): void {
    if (count > 0) {
      const atMs = this.#options.clock.monotonicMs();
      this.#knownCounts.set(incarnation, { count, atMs });
    }
    if (count > this.#directory.memberCount) {
      this.#directory = { ...this.#directory, memberCount: count };
    }
  }

  #request(delegates: readonly MemberRecord[], nowMs: number): void {
    if (nowMs - this.#requestedAtMs < RETRY_MS) {
      return;
    }
    this.#requestedAtMs = nowMs;
    const isOutdated = nowMs - this.#refreshedAtMs > MAX_AGE_MS;
    if (this.#isKnown && isOutdated) {
      const records = this.#options.membership.listAll();
      const estimate = this.#estimate(records);
      const memberCount = Math.max(this.#directory.memberCount, estimate);
      this.#directory = { ...this.#directory, memberCount };
    }
    const start = hashText(this.self) + this.#attempt;
    const delegate = delegates[start % delegates.length];
    this.#attempt += 1;
    if (delegate) {
      void this.#options.fetchDirectory(delegate, this.#directory.digest)
        .then((fetched) => this.#receive(fetched));
    }
  }

  #receive(fetched: Partial<FleetDirectory> | undefined): void {
    const memberCount = fetched?.memberCount ?? 0;
    if (!fetched || memberCount < 1) {
      return;
    }
    const wasKnown = this.#isKnown;
    this.#attempt = 0;
    this.#use(
      { ...this.#directory, ...fetched, memberCount },
      this.#options.clock.monotonicMs(),
    );
    if (!wasKnown) {
      this.#notify();
    }
  }

  #use(directory: FleetDirectory, nowMs: number): void {
    const { digest, candidates } = this.#directory;
    this.#directory = directory.digest === digest
      ? { ...directory, candidates }
      : directory;
    this.#isKnown = true;
    this.#refreshedAtMs = nowMs;
  }

  /** Estimates the number of members from the own failure domain, which every member knows completely. */
  #estimate(records: readonly MemberRecord[]): number {
    const { configuration } = this.#options;
    const domains = configuration.current?.regionByFailureDomain.size ?? 1;
    return this.#listOwnDomain(records).length * Math.max(1, domains);
  }

  #listOwnDomain(records: readonly MemberRecord[]): MemberRecord[] {
    const { failureDomain } = this.#options.membership.self;
    return records.filter((record) =>
      record.failureDomain === failureDomain && record.state !== "dead"
    );
  }

  #notify(): void {
    this.#listeners.forEach((listener) => listener());
  }
}
