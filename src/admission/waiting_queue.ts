/**
 * Priority queue of calls that wait for a slot of the backend server.
 */

import type { OpenShare } from "./fair_shares.ts";

/** Most nested calls of a class in a row that get slots before a new chain of the class that waits. Nested calls may wait without end, and new chains would never run. */
const MAX_NESTED_IN_A_ROW = 7;

/** A waiting call. */
export interface Waiter {
  readonly classRank: number;
  /** Name of the account; empty without accounts. */
  readonly member: string;
  /** Share of the slots that the call counts towards. */
  readonly open: OpenShare;
  /** Whether the account has used up its allowance, so that its calls go last. */
  readonly isOverAllowance: boolean;
  /** Whether the call is nested, so that its chain has already done work elsewhere. */
  readonly isNested: boolean;
  /** Rank of the request tree among the nested calls of an account, or of all callers without one. */
  readonly treeRank: number;
  /** Arrival time, in monotonic milliseconds. */
  readonly arrivedAtMs: number;
  /** When the call is refused if it has no slot, in monotonic milliseconds. */
  readonly expiresAtMs: number;
}

/** Tie-breakers among calls of the same class. */
export interface OrderOptions {
  /** Expected slot hold time of a call, in milliseconds. */
  readonly holdMs: number;
  /** Whether new chains of a class are served in LIFO instead of FIFO order. */
  readonly isNewestFirst: boolean;
  /** Whether nested calls are served by the rank of their tree instead of by expiry. */
  readonly isByTree: boolean;
}

/** Waiting calls, ordered when one is chosen. */
export class WaitingQueue<T extends Waiter> {
  readonly #waiters = new Set<T>();
  /** Nested calls by class rank that got slots one after the other while new chains of the class waited. */
  readonly #nestedInARow: number[] = [];

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

  /** Removes a call that gets a slot, so that the turns of its class go on. */
  take(waiter: T): void {
    this.#waiters.delete(waiter);
    const { classRank, isNested } = waiter;
    const passesNewChain = isNested && this.#hasNewChain(classRank);
    this.#nestedInARow[classRank] = passesNewChain
      ? this.#getNestedInARow(classRank) + 1
      : 0;
  }

  /**
   * Counts the waiting calls that get a slot before a call that arrives now. Of
   * another account, only those count that fair sharing puts before it.
   */
  countAhead(
    waiter: Waiter,
    { holdMs, isByTree }: Pick<OrderOptions, "holdMs" | "isByTree">,
  ): number {
    let moreImportant = 0;
    let others: Map<OpenShare["share"], number> | undefined;
    let own = 0;
    let ownKind = 0;
    /** Nested calls of the class if this is a new chain, and the other way round. */
    let otherKind = 0;
    for (const other of this.#waiters) {
      const difference = compareTier(other, waiter);
      if (other.classRank !== waiter.classRank) {
        moreImportant += Number(difference < 0);
      } else if (other.isNested !== waiter.isNested) {
        otherKind += 1;
      } else if (difference !== 0) {
        ownKind += Number(difference < 0);
      } else if (other.open.share === waiter.open.share) {
        own += Number(
          !other.isNested || compareNested(other, waiter, isByTree) <= 0,
        );
      } else {
        const { share } = other.open;
        others ??= new Map();
        others.set(share, (others.get(share) ?? 0) + 1);
      }
    }
    ownKind += own;
    if (others) {
      const startMs = readStartMs(waiter) + own * holdMs;
      const { clock } = waiter.open;
      for (const [share, waiting] of others) {
        const leadMs = startMs - clock.computeStartMs(share);
        const before = Math.floor(leadMs / holdMs) + 1;
        ownKind += Math.max(0, Math.min(waiting, before));
      }
    }
    return moreImportant + ownKind +
      Math.min(otherKind, this.#countTurnsBefore(waiter, ownKind));
  }

  /** Counts the turns of the other kind of calls of a class before a call that has others of its own kind ahead. */
  #countTurnsBefore(
    { classRank, isNested }: Waiter,
    ahead: number,
  ): number {
    const inARow = this.#getNestedInARow(classRank);
    return isNested
      ? Math.floor((inARow + ahead) / MAX_NESTED_IN_A_ROW)
      : Math.max(0, MAX_NESTED_IN_A_ROW * (ahead + 1) - inARow);
  }

  #getNestedInARow(classRank: number): number {
    return this.#nestedInARow[classRank] ?? 0;
  }

  #hasNewChain(classRank: number): boolean {
    for (const waiter of this.#waiters) {
      if (!waiter.isNested && waiter.classRank === classRank) {
        return true;
      }
    }
    return false;
  }

  /**
   * Finds the call that gets the next slot, among the classes that may run. The
   * most important class goes first. Within a class, nested calls go first, then
   * new chains, one of which has a turn after several nested calls. Within these, the account goes first that has used the least
   * slot time, and of an account its nested calls by expiry, or in a long queue
   * by the rank of their tree.
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
    let newChain: T | undefined;
    for (const waiter of this.#waiters) {
      const { classRank } = waiter;
      const isAllowed = isAllowedByRank[classRank] ??= mayRun(classRank);
      if (isAllowed && (!best || isBefore(waiter, best, options))) {
        best = waiter;
      }
      if (
        isAllowed && !waiter.isNested &&
        (!newChain || isBefore(waiter, newChain, options))
      ) {
        newChain = waiter;
      }
    }
    const isNewChainDue = best?.classRank === newChain?.classRank &&
      this.#getNestedInARow(best?.classRank ?? 0) >= MAX_NESTED_IN_A_ROW;
    return isNewChainDue ? newChain : best;
  }

  /** Finds the newest call of the account that is last in turn, among the calls that go last. */
  findLast(holdMs: number): T | undefined {
    let lastTier: T | undefined;
    for (const waiter of this.#waiters) {
      if (!lastTier || compareTier(waiter, lastTier) > 0) {
        lastTier = waiter;
      }
    }
    const endsMs = new Map<OpenShare["share"], number>();
    let last: T | undefined;
    for (const waiter of this.#waiters) {
      if (lastTier && compareTier(waiter, lastTier) === 0) {
        const { share } = waiter.open;
        const endMs = (endsMs.get(share) ?? readStartMs(waiter)) + holdMs;
        endsMs.set(share, endMs);
        const lastEndMs = last ? endsMs.get(last.open.share) ?? 0 : 0;
        last = endMs >= lastEndMs ? waiter : last;
      }
    }
    return last;
  }

  /** Lists all waiting calls in the order in which they get slots. */
  listInOrder(options: OrderOptions): T[] {
    const inOwnOrder = [...this.#waiters].sort((one, other) =>
      compareTier(one, other) || compareWithinAccount(one, other, options)
    );
    const nextStartsMs = new Map<OpenShare["share"], number>();
    const starts = inOwnOrder.map((waiter) => {
      const { share } = waiter.open;
      const startMs = nextStartsMs.get(share) ?? readStartMs(waiter);
      nextStartsMs.set(share, startMs + options.holdMs);
      return { waiter, startMs };
    });
    const inOrder = starts.sort((one, other) =>
      compareTier(one.waiter, other.waiter) || one.startMs - other.startMs
    ).map(({ waiter }) => waiter);
    return this.#interleave(inOrder);
  }

  /** Moves new chains forward to their turns among the nested calls of their class. */
  #interleave(waiters: readonly T[]): T[] {
    const nested = waiters.filter(({ isNested }) => isNested);
    const newChains = waiters.filter(({ isNested }) => !isNested);
    const inOrder: T[] = [];
    const inARow = [...this.#nestedInARow];
    while (nested.length > 0 || newChains.length > 0) {
      const [next, newChain] = [nested[0], newChains[0]];
      const isNestedNext = next !== undefined &&
        (!newChain || next.classRank < newChain.classRank ||
          (next.classRank === newChain.classRank &&
            (inARow[next.classRank] ?? 0) < MAX_NESTED_IN_A_ROW));
      const chosen = isNestedNext ? nested.shift() : newChains.shift();
      if (chosen) {
        inOrder.push(chosen);
        inARow[chosen.classRank] = isNestedNext
          ? (inARow[chosen.classRank] ?? 0) + 1
          : 0;
      }
    }
    return inOrder;
  }
}

/** Whether a waiting call is refused in favor of a new one of another account. */
export function isDisplacedBy(last: Waiter, waiter: Waiter): boolean {
  return last.member !== waiter.member &&
    (compareTier(waiter, last) || readStartMs(waiter) - readStartMs(last)) <= 0;
}

function readStartMs({ open: { clock, share } }: Waiter): number {
  return clock.computeStartMs(share);
}

function isBefore(one: Waiter, other: Waiter, options: OrderOptions): boolean {
  const difference = compareTier(one, other) || compareStarts(one, other) ||
    compareWithinAccount(one, other, options);
  return difference < 0;
}

function compareStarts(one: Waiter, other: Waiter): number {
  return one.open.share === other.open.share
    ? 0
    : readStartMs(one) - readStartMs(other);
}

/** Compares what precedes the shares of accounts: class, nested calls, and accounts within their allowance. */
function compareTier(one: Waiter, other: Waiter): number {
  if (one.classRank !== other.classRank) {
    return one.classRank - other.classRank;
  }
  if (one.isNested !== other.isNested) {
    return one.isNested ? -1 : 1;
  }
  if (one.isOverAllowance !== other.isOverAllowance) {
    return one.isOverAllowance ? 1 : -1;
  }
  return 0;
}

function compareWithinAccount(
  one: Waiter,
  other: Waiter,
  { isByTree, isNewestFirst }: OrderOptions,
): number {
  if (one.isNested) {
    return compareNested(one, other, isByTree);
  }
  const differenceMs = one.arrivedAtMs - other.arrivedAtMs;
  return isNewestFirst ? -differenceMs : differenceMs;
}

function compareNested(
  one: Waiter,
  other: Waiter,
  isByTree: boolean,
): number {
  const ranks = one.treeRank - other.treeRank;
  const expiryMs = one.expiresAtMs - other.expiresAtMs;
  return isByTree ? ranks || expiryMs : expiryMs || ranks;
}
