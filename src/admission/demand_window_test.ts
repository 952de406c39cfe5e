import { test } from "uvu";
import * as assert from "uvu/assert";
import { DemandWindow } from "./demand_window.ts";

const CLASSES = 3;

/** Records calls at a constant rate, of which every third is of the least important class, and returns the demand at the end. */
function measure(callsPerSecond: number, durationMs: number) {
  const window = new DemandWindow();
  const count = callsPerSecond * durationMs / 1_000;
  for (let call = 0; call < count; call += 1) {
    window.record({
      atMs: call * 1_000 / callsPerSecond,
      classRank: call % 3 === 0 ? 2 : 0,
      service: "stock",
      mark: call % 3 === 0
        ? { service: "stock", ratio: 0.25, otherRatio: 1 }
        : undefined,
    });
  }
  return window.estimate(durationMs, CLASSES);
}

// An overloaded instance with many slots took its demand for less than its capacity and asked entries to admit everything.
for (const callsPerSecond of [300, 1_200, 3_000, 9_000]) {
  test(`estimates the demand of an instance with ${callsPerSecond} calls a second`, () => {
    const [important, middle, other] = measure(callsPerSecond, 5_000);
    const expected = callsPerSecond / 3;
    const isNear = (value = 0, target: number) =>
      Math.abs(value - target) <= target * 0.1;
    assert.ok(isNear(important?.arrivingPerSecond, 2 * expected));
    assert.is(middle?.arrivingPerSecond, 0);
    assert.ok(isNear(other?.offeredPerSecond, 4 * expected));
    assert.ok(isNear(other?.arrivingPerSecond, 4 * expected));
  });
}

test("estimates the demand of an instance with few calls", () => {
  const [important] = measure(3, 6_000);
  assert.ok(Math.abs((important?.arrivingPerSecond ?? 0) - 2) < 0.7);
});

// Callers come in bursts; entries refused up to nine of ten requests after each, though the queue was short.
test("estimates the mean of demand that comes in bursts", () => {
  const window = new DemandWindow();
  const estimates: number[] = [];
  for (let atMs = 0; atMs < 3_000; atMs += 1) {
    // 1,333 calls a second, within the first 40 ms of each 120 ms.
    for (let call = 0; atMs % 120 < 40 && call < 4; call += 1) {
      window.record({
        ...{ atMs, classRank: 0, service: "stock", mark: undefined },
      });
    }
    if (atMs >= 1_000 && atMs % 50 === 0) {
      estimates.push(window.estimate(atMs, 1)[0]?.offeredPerSecond ?? 0);
    }
  }
  assert.ok(Math.max(...estimates) < 1_333 * 1.35, estimates.join());
  assert.ok(Math.min(...estimates) > 1_333 * 0.65, estimates.join());
});

test("forgets the demand that has ended", () => {
  const window = new DemandWindow();
  for (let call = 0; call < 500; call += 1) {
    window.record({
      ...{ atMs: call / 5, classRank: 0, service: "stock", mark: undefined },
    });
  }
  assert.is(window.estimate(4_000, CLASSES)[0]?.offeredPerSecond, 0);
});

test.run();
