import { test } from "uvu";
import * as assert from "uvu/assert";
import { RandomSource } from "../time/mod.ts";
import { FairClock } from "./fair_clock.ts";
import { WaitingQueue } from "./waiting_queue.ts";
import type { OrderOptions, Waiter } from "./waiting_queue.ts";

const HOLD_MS = 20;

/** Whether one of two nested calls of a class goes first: by the rank of their tree and then by expiry, or the other way round. */
function precedesAsNested(
  one: Waiter,
  other: Waiter,
  isByTree: boolean,
): boolean {
  const isEarlier = one.expiresAtMs < other.expiresAtMs;
  const isLower = one.treeRank < other.treeRank;
  if (isByTree) {
    return one.treeRank === other.treeRank ? isEarlier : isLower;
  }
  return one.expiresAtMs === other.expiresAtMs ? isLower : isEarlier;
}

/** The order without accounts. */
function precedes(
  one: Waiter,
  other: Waiter,
  { isByTree, isNewestFirst }: OrderOptions,
): boolean {
  if (one.classRank !== other.classRank) {
    return one.classRank < other.classRank;
  }
  if (one.isNested || other.isNested) {
    return one.isNested &&
      (!other.isNested || precedesAsNested(one, other, isByTree));
  }
  return isNewestFirst
    ? one.arrivedAtMs > other.arrivedAtMs
    : one.arrivedAtMs < other.arrivedAtMs;
}

/** The count without accounts: new chains of the same class all go first. */
function precedesOnArrival(
  one: Waiter,
  other: Waiter,
  isByTree: boolean,
): boolean {
  if (one.classRank !== other.classRank) {
    return one.classRank < other.classRank;
  }
  if (one.isNested !== other.isNested) {
    return one.isNested;
  }
  return !one.isNested || !precedesAsNested(other, one, isByTree);
}

/** Nested calls of a class that may get slots in a row while a new chain of the class waits. */
const MAX_NESTED_IN_A_ROW = 7;

/** Puts calls in the order in which they get slots, given how many nested calls of each class have just got one in a row. */
function takeInTurns(
  sorted: readonly Waiter[],
  inARow: readonly number[],
): Waiter[] {
  const waiting = [...sorted];
  const counts = [...inARow];
  const taken: Waiter[] = [];
  for (let first = waiting[0]; first; first = waiting[0]) {
    const { classRank } = first;
    const newChain = waiting.find((each) =>
      each.classRank === classRank && !each.isNested
    );
    const count = counts[classRank] ?? 0;
    const next = newChain && count >= MAX_NESTED_IN_A_ROW ? newChain : first;
    counts[classRank] = next.isNested && newChain ? count + 1 : 0;
    waiting.splice(waiting.indexOf(next), 1);
    taken.push(next);
  }
  return taken;
}

function createWaiters(random: RandomSource, count: number): Waiter[] {
  const clocks = Array.from({ length: 6 }, () => new FairClock(0));
  return Array.from({ length: count }, (_, index) => {
    const classRank = random.nextInteger(3);
    const isNested = random.nextFloat() < 0.5;
    const clock = clocks[2 * classRank + Number(isNested)] ?? new FairClock(0);
    const share = clock.open("", index);
    if (random.nextFloat() < 0.5) {
      clock.charge(share, { nowMs: index, holdMs: HOLD_MS });
    }
    return {
      ...{ classRank, isNested, member: "", open: { clock, share, kind: 0 } },
      isOverAllowance: false,
      treeRank: isNested ? random.nextInteger(8) : 0,
      arrivedAtMs: random.nextInteger(50),
      expiresAtMs: 100 + random.nextInteger(50),
    };
  });
}

// Trees of requests failed after most of their calls, since each gate served other trees first.
test("without accounts, the order and the count of calls ahead are those of classes, nested calls by tree, and age", () => {
  const random = new RandomSource(4);
  for (let round = 0; round < 300; round += 1) {
    const queue = new WaitingQueue<Waiter>();
    const waiters = createWaiters(random, 2 + random.nextInteger(60));
    const isNewestFirst = round % 2 === 0;
    const isByTree = round % 4 > 1;
    const options = { holdMs: HOLD_MS, isByTree, isNewestFirst };
    waiters.slice(1).forEach((waiter) => queue.add(waiter));
    const [arriving, ...others] = waiters;
    const sorted = [...others].sort((one, other) =>
      precedes(one, other, options) ? -1 : 1
    );
    const expected = takeInTurns(sorted, []);
    const inARow: number[] = [];
    const taken = expected.splice(0, random.nextInteger(others.length + 1));
    for (const waiter of taken) {
      const { classRank, isNested } = waiter;
      assert.is(queue.findNext(options, () => true), waiter);
      queue.take(waiter);
      const hasNewChain = expected.concat(taken.slice(taken.indexOf(waiter)))
        .some((each) => each.classRank === classRank && !each.isNested);
      inARow[classRank] = isNested && hasNewChain
        ? (inARow[classRank] ?? 0) + 1
        : 0;
    }
    assert.equal(
      queue.listInOrder(options).map((waiter) => others.indexOf(waiter)),
      expected.map((waiter) => others.indexOf(waiter)),
    );
    if (arriving) {
      const waiting = sorted.filter((each) => expected.includes(each));
      const isAhead = (each: Waiter) =>
        precedesOnArrival(each, arriving, isByTree);
      const sortedWithArriving = [
        ...waiting.filter(isAhead),
        arriving,
        ...waiting.filter((each) => !isAhead(each)),
      ];
      const ahead = takeInTurns(sortedWithArriving, inARow).indexOf(arriving);
      assert.is(queue.countAhead(arriving, options), ahead);
    }
  }
});

// Direct requests to a service were never run while trees of their class kept its queue from becoming empty.
test("a new chain gets its turn while nested calls of its class keep arriving", () => {
  const queue = new WaitingQueue<Waiter>();
  const options = { holdMs: HOLD_MS, isByTree: false, isNewestFirst: false };
  const [waiter] = createWaiters(new RandomSource(1), 1) as [Waiter];
  const createWaiter = (isNested: boolean, arrivedAtMs: number) => ({
    ...{ ...waiter, classRank: 1, isNested, arrivedAtMs },
    expiresAtMs: arrivedAtMs + 500,
  });
  const newChains = [100, 101].map((atMs) => createWaiter(false, atMs));
  newChains.forEach((newChain) => queue.add(newChain));
  const takenAfter = new Map<Waiter, number>();
  for (let grants = 0; grants < 40; grants += 1) {
    queue.add(createWaiter(true, 200 + grants));
    queue.add(createWaiter(true, 200 + grants));
    const next = queue.findNext(options, () => true);
    if (next) {
      queue.take(next);
      takenAfter.set(next, grants);
    }
  }
  assert.equal(newChains.map((newChain) => takenAfter.get(newChain)), [7, 15]);
});

test.run();
