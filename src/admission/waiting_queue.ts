/**
 * Calls that wait for a slot of the backend server, and their order.
 */

import type { MemberUsage } from "./member_usage.ts";

/** A call that waits. */
export interface Waiter {
  readonly classRank: number;
  readonly member: string;
  /** Whether the chain of calls has already done work elsewhere. */
  readonly isNested: boolean;
  readonly arrivedAtMs: number;
  /** When the wait ends without a slot, in monotonic milliseconds. */
  readonly expiresAtMs: number;
}

/** What decides among calls of equal standing. */
export interface OrderOptions {
  readonly nowMs: number;
  readonly usage: MemberUsage;
  /** Whether the latest call of a class goes first. */
  readonly isNewestFirst: boolean;
}

/** Waiting calls. */
export class WaitingQueue<T extends Waiter> {
  readonly #waiters = new Set<T>();

  /** Calls that wait. */
  get length(): number {
    return this.#waiters.size;
  }

  /** Adds a call. */
  add(waiter: T): void {
    this.#waiters.add(waiter);
  }

  /** Removes a call; false if it does not wait any more. */
  remove(waiter: T): boolean {
    return this.#waiters.delete(waiter);
  }

  /** Calls that get a slot before the given one. */
  countAhead(waiter: Waiter): number {
    let ahead = 0;
    for (const other of this.#waiters) {
      ahead += Number(goesFirst(other, waiter));
    }
    return ahead;
  }

  /**
   * The call that gets the next slot, among the classes that may have one: the
   * most important class first; in it calls of running chains by deadline, then
   * new ones, those of Members who used less before others.
   */
  findNext(
    options: OrderOptions,
    mayRun: (classRank: number) => boolean,
  ): T | undefined {
    const verdicts: (boolean | undefined)[] = [];
    let best: T | undefined;
    for (const waiter of this.#waiters) {
      const { classRank } = waiter;
      const isAllowed = verdicts[classRank] ??= mayRun(classRank);
      if (isAllowed && (!best || isBefore(waiter, best, options))) {
        best = waiter;
      }
    }
    return best;
  }

  /** All calls, those first that get a slot first. */
  listInOrder(options: OrderOptions): T[] {
    return [...this.#waiters].sort((one, other) =>
      isBefore(one, other, options) ? -1 : 1
    );
  }
}

function goesFirst(one: Waiter, other: Waiter): boolean {
  if (one.classRank !== other.classRank) {
    return one.classRank < other.classRank;
  }
  if (one.isNested !== other.isNested) {
    return one.isNested;
  }
  return !one.isNested || one.expiresAtMs <= other.expiresAtMs;
}

function isBefore(one: Waiter, other: Waiter, options: OrderOptions): boolean {
  const { nowMs, usage, isNewestFirst } = options;
  if (one.classRank !== other.classRank) {
    return one.classRank < other.classRank;
  }
  if (one.isNested || other.isNested) {
    return one.isNested && (!other.isNested ||
      one.expiresAtMs < other.expiresAtMs);
  }
  const difference = Math.round(usage.estimate(one.member, nowMs)) -
    Math.round(usage.estimate(other.member, nowMs));
  if (difference !== 0) {
    return difference < 0;
  }
  return isNewestFirst
    ? one.arrivedAtMs > other.arrivedAtMs
    : one.arrivedAtMs < other.arrivedAtMs;
}
