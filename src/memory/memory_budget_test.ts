import * as assert from "uvu/assert";
import { suite } from "uvu";
import { CallController } from "../cancellation/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { HeldMemory, MemoryBudget } from "./mod.ts";
import type { AcquireOptions } from "./mod.ts";

const CAPACITY_BYTES = 1_000_000;
const LARGE_BYTES = 300_000;
const SMALL_BYTES = 50_000;

const test = suite("memory budget");

function createFixture() {
  const clock = new ManualClock();
  const budget = new MemoryBudget({ clock, capacityBytes: CAPACITY_BYTES });
  const order: string[] = [];
  const acquire = async (
    name: string,
    bytes: number,
    options: Partial<AcquireOptions> = {},
  ) => {
    const isAcquired = await budget.acquire(bytes, {
      signal: new CallController().signal,
      ...options,
    });
    order.push(isAcquired ? name : `not ${name}`);
  };
  return { clock, budget, order, acquire };
}

/** Lets settled promises run their continuations. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test("large bodies leave a part of the budget to small ones", async () => {
  const { budget, order, acquire } = createFixture();
  for (const name of ["a", "b", "c", "d"]) {
    void acquire(name, LARGE_BYTES);
  }
  void acquire("small", SMALL_BYTES);
  await settle();
  assert.equal(order, ["a", "b", "c", "small"]);
  assert.is(budget.waitingBytes, LARGE_BYTES);
  budget.release(LARGE_BYTES);
  await settle();
  // The small one still uses a part of what large ones may use.
  assert.equal(order, ["a", "b", "c", "small"]);
  budget.release(SMALL_BYTES);
  await settle();
  assert.equal(order, ["a", "b", "c", "small", "d"]);
  assert.is(budget.heldBytes, 3 * LARGE_BYTES);
});

test("the more important go first, then those that have waited longest", async () => {
  const { budget, order, acquire } = createFixture();
  budget.force(CAPACITY_BYTES);
  void acquire("late, lesser", LARGE_BYTES, { classRank: 2 });
  void acquire("first", LARGE_BYTES, { classRank: 1 });
  void acquire("second", LARGE_BYTES, { classRank: 1 });
  void acquire("urgent", LARGE_BYTES, { classRank: 0 });
  for (let count = 0; count < 4; count += 1) {
    budget.release(CAPACITY_BYTES / 4);
  }
  await settle();
  assert.equal(order, ["urgent", "first", "second"]);
});

test("an acquisition that waits too long, is aborted or can never fit fails and holds nothing", async () => {
  const { clock, budget, order, acquire } = createFixture();
  const controller = new CallController();
  budget.force(CAPACITY_BYTES);
  void acquire("patient", LARGE_BYTES, { maxWaitMs: 500 });
  void acquire("aborted", LARGE_BYTES, { signal: controller.signal });
  void acquire("oversized", CAPACITY_BYTES);
  controller.abort();
  clock.advance(499);
  await settle();
  assert.equal(order, ["not oversized", "not aborted"]);
  clock.advance(1);
  await settle();
  assert.equal(order.at(-1), "not patient");
  budget.release(CAPACITY_BYTES);
  assert.is(budget.heldBytes, 0);
  assert.is(budget.waitingBytes, 0);
  assert.is(budget.failedCount, 3);
});

test("estimates when there is room from what was released lately", () => {
  const { clock, budget } = createFixture();
  const idleEstimateMs = budget.estimateWaitMs(LARGE_BYTES);
  for (let round = 0; round < 40; round += 1) {
    budget.force(LARGE_BYTES);
    clock.advance(250);
    budget.release(LARGE_BYTES);
  }
  // One large body each 250 ms.
  const estimateMs = budget.estimateWaitMs(4 * LARGE_BYTES);
  assert.ok(estimateMs > 800 && estimateMs < 1_200, `${estimateMs} ms`);
  assert.ok(idleEstimateMs > estimateMs);
});

test("the memory of a call is released once, with what was acquired ahead", async () => {
  const { budget } = createFixture();
  const { signal } = new CallController();
  const memory = new HeldMemory(budget);
  assert.ok(await memory.reserveAhead(LARGE_BYTES, { signal }));
  assert.ok(memory.tryReserve(SMALL_BYTES));
  assert.is(budget.heldBytes, LARGE_BYTES);
  assert.ok(await memory.reserve(LARGE_BYTES, { signal }));
  assert.is(budget.heldBytes, LARGE_BYTES + SMALL_BYTES);
  memory.force(SMALL_BYTES);
  memory.release();
  memory.release();
  assert.is(budget.heldBytes, 0);
});

// Guards against bytes that stay counted for ever, since they were acquired for a call that had ended meanwhile.
test("bytes that are acquired after the end of a call are given back", async () => {
  const { budget } = createFixture();
  const memory = new HeldMemory(budget);
  budget.force(CAPACITY_BYTES);
  const { signal } = new CallController();
  const reserved = memory.reserve(LARGE_BYTES, { signal });
  memory.release();
  budget.release(CAPACITY_BYTES);
  await reserved;
  assert.is(budget.heldBytes, 0);
});

test.run();
