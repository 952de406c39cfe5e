import { suite } from "uvu";
import * as assert from "uvu/assert";
import { LoopLoad } from "./loop_load.ts";

const test = suite("load of the event loop");

test("the utilization follows the share of the time that is not idle", () => {
  const times = { idle: 1_000, active: 5_000 };
  const load = new LoopLoad(() => ({ ...times }));
  assert.is(load.utilization, 0);
  for (let tick = 0; tick < 20; tick += 1) {
    times.idle += 40;
    times.active += 10;
    load.record(0);
  }
  assert.ok(Math.abs(load.utilization - 0.2) < 0.001);
  for (let tick = 0; tick < 8; tick += 1) {
    times.active += 50;
    load.record(0);
  }
  assert.ok(load.utilization > 0.85, String(load.utilization));
  // One long turn of the loop counts for its whole length.
  times.idle += 800;
  load.record(0);
  assert.ok(load.utilization < 0.1, String(load.utilization));
});

test("the delay follows that of the timers", () => {
  const load = new LoopLoad(() => ({ idle: 0, active: 0 }));
  load.record(-3);
  assert.is(load.delayMs, 0);
  [100, 100, 100, 100].forEach((lateMs) => load.record(lateMs));
  assert.ok(load.delayMs > 90 && load.delayMs < 100, String(load.delayMs));
  assert.is(load.utilization, 0);
});

test("a loop is saturated once it has not been idle for several ticks, which a pause does not show", () => {
  const times = { idle: 0, active: 0 };
  const load = new LoopLoad(() => ({ ...times }));
  const tick = (activeMs: number, idleMs: number) => {
    times.active += activeMs;
    times.idle += idleMs;
    load.record(0);
  };
  tick(20, 30);
  tick(2_000, 0);
  tick(20, 30);
  assert.not(load.isSaturated);
  for (let count = 0; count < 4; count += 1) {
    assert.not(load.isSaturated);
    tick(70, 1);
  }
  assert.ok(load.isSaturated);
  tick(40, 10);
  assert.not(load.isSaturated);
});

test("the time in which this process is busy counts as used", async () => {
  const load = new LoopLoad();
  for (let turn = 0; turn < 10; turn += 1) {
    const endMs = performance.now() + 30;
    while (performance.now() < endMs) {
      // Keeps the event loop busy.
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  load.record(0);
  assert.ok(load.utilization > 0.6, String(load.utilization));
});

test.run();
