/**
 * Priority queue of calls that wait for a slot of the backend server.
 */

import type { MemberUsage } from "./member_usage.ts";

/** A waiting call. */
export interface Waiter {
  readonly classRank: number;
  readonly member: string;
  /** Whether the call is nested, so that its chain has already done work elsewhere. */
  readonly isNested: boolean;
  /** Arrival time, in monotonic milliseconds. */
  readonly arrivedAtMs: number;
  /** When the call is refused if it has no slot, in monotonic milliseconds. */
  readonly expiresAtMs: number;
}

/** Tie-breakers among calls of the same class. */
export interface OrderOptions {
  readonly nowMs: number;
  readonly usage: MemberUsage;
  /** Whether new chains of a class are served in LIFO instead of FIFO order. */
  readonly isNewestFirst: boolean;
}

/** Waiting calls, ordered when one is chosen. */
export class WaitingQueue<T extends Waiter> {
  readonly #waiters = new Set<T>();

  /** Number of waiting calls. */
  get length(): number {
    return this.#waiters.size;
  }

  /** Adds a call. */
  add(waiter: T): void {
    this.#waiters.add(waiter);
  }

  /** Removes a call; returns false if it is no longer waiting. */
  remove(waiter: T): boolean {
    return this.#waiters.delete(waiter);
  }

  /** Counts the waiting calls that get a slot before a call that arrives now. */
  countAhead(waiter: Waiter): number {
    let ahead = 0;
    for (const other of this.#waiters) {
      ahead += Number(precedesOnArrival(other, waiter));
    }
    return ahead;
  }

  /**
   * Finds the call that gets the next slot, among the classes that may run. The
   * most important class goes first. Within a class, nested calls go first, by
   * expiry, then new chains, those of Members with less recent usage first.
   *
   * @param options - Tie-breakers
   * @param mayRun - Whether a class may use a slot
   * @returns The call, or undefined if no waiting call may run
   */
  findNext(
    options: OrderOptions,
    mayRun: (classRank: number) => boolean,
  ): T | undefined {
    const isAllowedByRank: (boolean | undefined)[] = [];
    let best: T | undefined;
    for (const waiter of this.#waiters) {
      const { classRank } = waiter;
      const isAllowed = isAllowedByRank[classRank] ??= mayRun(classRank);
      if (isAllowed && (!best || isBefore(waiter, best, options))) {
        best = waiter;
      }
    }
    return best;
  }

  /** Lists all waiting calls in the order in which they get slots. */
  listInOrder(options: OrderOptions): T[] {
    return [...this.#waiters].sort((one, other) =>
      isBefore(one, other, options) ? -1 : 1
    );
  }
}

/** Whether a waiting call precedes one that arrives now, without usage and recency. */
function precedesOnArrival(one: Waiter, other: Waiter): boolean {
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
