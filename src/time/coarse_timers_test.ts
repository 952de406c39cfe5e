import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CoarseTimers } from "./coarse_timers.ts";

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

test("timers fire in the order of their times, never early, and cancelled ones not at all", async () => {
  const timers = new CoarseTimers();
  const fired: string[] = [];
  const startedAtMs = performance.now();
  let firstAtMs = 0;
  timers.schedule(60, () => fired.push("third"));
  timers.schedule(20, () => {
    firstAtMs = performance.now();
    fired.push("first");
  });
  const cancel = timers.schedule(40, () => fired.push("cancelled"));
  timers.schedule(40, () => fired.push("second"));
  cancel();
  cancel();
  await sleep(150);
  assert.equal(fired, ["first", "second", "third"]);
  assert.ok(firstAtMs - startedAtMs >= 20);
});

// The timer of the system is armed for a slot that may have been emptied since.
test("a timer fires after an earlier one was cancelled", async () => {
  const timers = new CoarseTimers();
  let count = 0;
  timers.schedule(10, () => count += 1)();
  await sleep(30);
  timers.schedule(10, () => count += 1);
  await sleep(60);
  assert.is(count, 1);
});

test("one callback may be scheduled several times, also by itself", async () => {
  const timers = new CoarseTimers();
  let count = 0;
  const callback = () => {
    count += 1;
    if (count === 1) {
      timers.schedule(10, callback);
    }
  };
  timers.schedule(10, callback);
  timers.schedule(10, callback);
  await sleep(100);
  assert.is(count, 3);
});

// Otherwise the timers behind a callback that throws would never fire.
test("a callback that throws does not stop the others", async () => {
  const timers = new CoarseTimers();
  let count = 0;
  const errors: unknown[] = [];
  const record = (error: unknown) => errors.push(error);
  process.once("uncaughtException", record);
  timers.schedule(10, () => {
    throw new Error("a fault");
  });
  timers.schedule(10, () => count += 1);
  timers.schedule(30, () => count += 1);
  await sleep(100);
  process.off("uncaughtException", record);
  assert.is(errors.length, 1);
  assert.is(count, 2);
});

test.run();
