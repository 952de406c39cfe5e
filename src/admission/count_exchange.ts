/**
 * Exchange of request counts between the entries of a fleet.
 *
 * In a large fleet each entry sees a few requests a second, too few to learn from.
 * While requests fail anywhere, the daemons of a failure domain report their
 * counts to one of them, the collector. It sums them up, exchanges the sums with
 * the collectors of the other failure domains, and returns the sum of the fleet to
 * the members of its own.
 *
 * Counts are states, not increments: a lost or repeated message does no harm, and
 * counts that are not renewed decay and expire. A failure domain that is cut off
 * goes on with its own sums, and a daemon without a collector with its own counts.
 */

import type { Clock } from "../time/mod.ts";
import { addCounts, decayCounts, NO_COUNTS } from "./request_counts.ts";
import type { RequestCounts } from "./request_counts.ts";

/** Age at which counts that were not renewed are dropped, in milliseconds. */
const MAX_AGE_MS = 2_000;

/** Time for which counts are exchanged after the last failure or refusal, in milliseconds. */
const ACTIVE_MS = 3_000;

/** Weighted count of recent failures from which others join the exchange. */
const MIN_FAILURES = 0.5;

/** Maximum number of request kinds in a message, those with the most requests. */
const MAX_KINDS = 8;

/** Counts by request kind. */
export type CountsByKind = ReadonlyMap<string, RequestCounts>;

interface ReceivedCounts {
  readonly atMs: number;
  readonly counts: CountsByKind;
}

/** Collects the counts of other entries and provides their sum. */
export class CountExchange {
  readonly #clock: Clock;
  readonly #readOwn: () => CountsByKind;
  readonly #byMember = new Map<string, ReceivedCounts>();
  readonly #byDomain = new Map<string, ReceivedCounts>();
  /** Sum of the fleet that the collector returned. */
  #fleet: ReceivedCounts | undefined;
  /** Own counts as last reported, which the returned sum contains. */
  #reported: ReceivedCounts | undefined;
  #activeUntilMs = 0;

  constructor(clock: Clock, readOwn: () => CountsByKind) {
    this.#clock = clock;
    this.#readOwn = readOwn;
  }

  /** Whether counts are exchanged now. */
  get isActive(): boolean {
    return this.#clock.monotonicMs() < this.#activeUntilMs;
  }

  /** Starts or prolongs the exchange, after a request failed or was refused. */
  activate(): void {
    this.#activeUntilMs = this.#clock.monotonicMs() + ACTIVE_MS;
  }

  /** Returns the counts that a member reports to its collector. */
  createReport(): CountsByKind {
    const counts = selectBusiest(this.#readOwn());
    this.#reported = this.#stamp(counts);
    return counts;
  }

  /** Returns the sum of the failure domain, which a collector sends to the others. */
  createDomainSum(): CountsByKind {
    return selectBusiest(
      this.#sum([this.#readOwn(), ...this.#listCurrent(this.#byMember)]),
    );
  }

  /** Returns the sum of the fleet, which a collector returns to its members. */
  createFleetSum(): CountsByKind {
    return selectBusiest(
      this.#sum([
        this.#readOwn(),
        ...this.#listCurrent(this.#byMember),
        ...this.#listCurrent(this.#byDomain),
      ]),
    );
  }

  /** Records the report of a member, as its collector. */
  recordReport(member: string, counts: CountsByKind): void {
    this.#byMember.set(member, this.#stamp(counts));
    this.#activateOnFailures(counts);
  }

  /** Records the sum of another failure domain, as a collector. */
  recordDomainSum(failureDomain: string, counts: CountsByKind): void {
    this.#byDomain.set(failureDomain, this.#stamp(counts));
    this.#activateOnFailures(counts);
  }

  /** Records the sum of the fleet that the collector returned. */
  recordFleetSum(counts: CountsByKind): void {
    this.#fleet = this.#stamp(counts);
    this.#activateOnFailures(counts);
  }

  /** Returns the current counts of all other entries for a request kind. */
  getOthers(name: string): RequestCounts {
    const nowMs = this.#clock.monotonicMs();
    const decay = ({ atMs, counts }: ReceivedCounts) =>
      decayCounts(counts.get(name) ?? NO_COUNTS, nowMs - atMs);
    if (this.#fleet && nowMs - this.#fleet.atMs <= MAX_AGE_MS) {
      const fleet = decay(this.#fleet);
      return this.#reported
        ? addCounts(fleet, decay(this.#reported), -1)
        : fleet;
    }
    this.#removeExpired(this.#byMember);
    this.#removeExpired(this.#byDomain);
    return [...this.#byMember.values(), ...this.#byDomain.values()]
      .map(decay).reduce((sum, each) => addCounts(sum, each), NO_COUNTS);
  }

  /** Joins the exchange when the counts of others show failures; it ends with them. */
  #activateOnFailures(counts: CountsByKind): void {
    const hasFailures = [...counts.values()].some((
      { recentlyEnded, recentlyServed },
    ) => recentlyEnded - recentlyServed > MIN_FAILURES);
    if (hasFailures) {
      this.activate();
    }
  }

  #stamp(counts: CountsByKind): ReceivedCounts {
    return { atMs: this.#clock.monotonicMs(), counts };
  }

  #removeExpired(received: Map<string, ReceivedCounts>): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [source, { atMs }] of received) {
      if (nowMs - atMs > MAX_AGE_MS) {
        received.delete(source);
      }
    }
  }

  #listCurrent(received: Map<string, ReceivedCounts>): CountsByKind[] {
    this.#removeExpired(received);
    const nowMs = this.#clock.monotonicMs();
    return [...received.values()].map(({ atMs, counts }) =>
      new Map(
        [...counts].map(([name, each]) => [
          name,
          decayCounts(each, nowMs - atMs),
        ]),
      )
    );
  }

  #sum(all: readonly CountsByKind[]): CountsByKind {
    const sums = new Map<string, RequestCounts>();
    for (const counts of all) {
      for (const [name, each] of counts) {
        sums.set(name, addCounts(sums.get(name) ?? NO_COUNTS, each));
      }
    }
    return sums;
  }
}

function selectBusiest(counts: CountsByKind): CountsByKind {
  if (counts.size <= MAX_KINDS) {
    return counts;
  }
  return new Map(
    [...counts].sort(([, left], [, right]) => right.requests - left.requests)
      .slice(0, MAX_KINDS),
  );
}
