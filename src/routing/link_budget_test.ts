import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { LinkBudget } from "./link_budget.ts";

const BYTES_PER_SECOND = 200_000;
const BULK = { service: "price-sheets", isBulk: true };
const SMALL = { service: "stock", isBulk: false };

const test = suite("link budget");

function createFixture() {
  const clock = new ManualClock();
  const budget = new LinkBudget(clock);
  budget.setRate(BYTES_PER_SECOND);
  return { clock, budget };
}

/** Transfers as much bulk as the budget allows for a duration, and returns the bytes transferred. */
function transferBulk(
  { clock, budget }: ReturnType<typeof createFixture>,
  durationMs: number,
  bodyBytes: number,
): number {
  let transferredBytes = 0;
  for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
    while (budget.allows({ ...BULK, classRank: 2 })) {
      const charged = budget.reserve(BULK);
      budget.reconcile(BULK, { charged, actual: bodyBytes });
      transferredBytes += bodyBytes;
    }
    clock.advance(10);
  }
  return transferredBytes;
}

test("limits bulk to the rate, even for bodies larger than the burst", () => {
  for (const bodyBytes of [5_000, 40_000, 500_000]) {
    const transferred = transferBulk(createFixture(), 20_000, bodyBytes);
    const expected = 20 * BYTES_PER_SECOND;
    assert.ok(transferred <= expected + bodyBytes + BYTES_PER_SECOND / 4);
    assert.ok(transferred >= expected * 0.8, `${transferred} of ${expected}`);
  }
});

test("allows one bulk body of unknown size at a time and keeps a reserve", () => {
  const { budget } = createFixture();
  const call = { ...BULK, classRank: 2 };
  assert.ok(budget.allows(call));
  budget.reserve(BULK);
  assert.not(budget.allows(call));
  assert.ok(budget.allows({ ...SMALL, classRank: 1 }));
  assert.ok(budget.estimateDelayMs(call) > 0);
});

test("averages the sizes of small and bulk bodies of a service separately", () => {
  const { budget } = createFixture();
  const bulk = { service: "stock", isBulk: true };
  const charged = budget.reserve(bulk);
  budget.reconcile(bulk, { charged, actual: 40_000 });
  assert.is(budget.reserve(SMALL), 4_096);
  assert.is(budget.reserve(bulk), 40_000);
});

test("allows only small calls of the most important class if the budget is exhausted", () => {
  const { budget } = createFixture();
  while (budget.tokens > 0) {
    budget.reserve(SMALL);
  }
  assert.ok(budget.allows({ ...SMALL, classRank: 0 }));
  assert.not(budget.allows({ ...SMALL, classRank: 1 }));
  assert.not(budget.allows({ ...BULK, classRank: 0 }));
});

test.run();
