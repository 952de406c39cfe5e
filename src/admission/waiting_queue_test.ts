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
    const waiters = createWaiters(random, 2 + random.nextInteger(30));
    const isNewestFirst = round % 2 === 0;
    const isByTree = round % 4 > 1;
    const options = { holdMs: HOLD_MS, isByTree, isNewestFirst };
    waiters.slice(1).forEach((waiter) => queue.add(waiter));
    const [arriving, ...others] = waiters;
    const expected = [...others].sort((one, other) =>
      precedes(one, other, options) ? -1 : 1
    );
    assert.equal(
      queue.listInOrder(options).map((waiter) => others.indexOf(waiter)),
      expected.map((waiter) => others.indexOf(waiter)),
    );
    const first = others.reduce((best, waiter) =>
      precedes(waiter, best, options) ? waiter : best
    );
    assert.is(queue.findNext(options, () => true), first);
    if (arriving) {
      const ahead = others.filter((each) =>
        precedesOnArrival(each, arriving, isByTree)
      );
      assert.is(queue.countAhead(arriving, options), ahead.length);
    }
  }
});

test.run();
