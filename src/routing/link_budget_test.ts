import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { LinkBudget } from "./link_budget.ts";

const BYTES_PER_SECOND = 200_000;
const BULK = { service: "price-sheets", isBulk: true };
const SMALL = { service: "stock", isBulk: false };

const test = suite("link budget");

function createBudget() {
  const clock = new ManualClock();
  const budget = new LinkBudget(clock);
  budget.setRate(BYTES_PER_SECOND);
  return { clock, budget };
}

/** Lets as much bulk cross as may, for a time; gives the bytes. */
function crossBulk(
  { clock, budget }: ReturnType<typeof createBudget>,
  durationMs: number,
  bodyBytes: number,
): number {
  let crossedBytes = 0;
  for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
    while (budget.mayCross({ ...BULK, classRank: 2 })) {
      const charged = budget.begin(BULK);
      budget.end(BULK, { charged, actual: bodyBytes });
      crossedBytes += bodyBytes;
    }
    clock.advance(10);
  }
  return crossedBytes;
}

test("bulk keeps to the rate, also with bodies larger than the burst", () => {
  for (const bodyBytes of [5_000, 40_000, 500_000]) {
    const crossed = crossBulk(createBudget(), 20_000, bodyBytes);
    const planned = 20 * BYTES_PER_SECOND;
    assert.ok(crossed <= planned + bodyBytes + BYTES_PER_SECOND / 4);
    assert.ok(crossed >= planned * 0.8, `${crossed} of ${planned}`);
  }
});

test("bulk of unknown size crosses one body at a time and leaves a reserve", () => {
  const { budget } = createBudget();
  const call = { ...BULK, classRank: 2 };
  assert.ok(budget.mayCross(call));
  budget.begin(BULK);
  assert.not(budget.mayCross(call));
  assert.ok(budget.mayCross({ ...SMALL, classRank: 1 }));
  assert.ok(budget.estimateDelayMs(call) > 0);
});

test("small and large bodies of one service have sizes of their own", () => {
  const { budget } = createBudget();
  const bulk = { service: "stock", isBulk: true };
  const charged = budget.begin(bulk);
  budget.end(bulk, { charged, actual: 40_000 });
  assert.is(budget.begin(SMALL), 4_096);
  assert.is(budget.begin(bulk), 40_000);
});

test("only small calls of the most important class cross a used-up budget", () => {
  const { budget } = createBudget();
  while (budget.tokens > 0) {
    budget.begin(SMALL);
  }
  assert.ok(budget.mayCross({ ...SMALL, classRank: 0 }));
  assert.not(budget.mayCross({ ...SMALL, classRank: 1 }));
  assert.not(budget.mayCross({ ...BULK, classRank: 0 }));
});

test.run();
