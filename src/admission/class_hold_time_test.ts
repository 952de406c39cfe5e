import { test } from "uvu";
import * as assert from "uvu/assert";
import { ClassHoldTime } from "./class_hold_time.ts";

// Each direct request raised the estimate of a class of short nested calls by a quarter, and entries refused for it.
test("few long direct requests among short nested calls hardly move the estimate", () => {
  const holdTime = new ClassHoldTime();
  const estimatesMs: number[] = [];
  for (let call = 0; call < 2_000; call += 1) {
    const isNested = call % 20 !== 0;
    holdTime.observe(isNested ? 57 : 150, isNested);
    estimatesMs.push(holdTime.averageMs ?? 0);
  }
  const meanMs = 57 + (150 - 57) / 20;
  for (const estimateMs of estimatesMs.slice(1_000)) {
    const deviation = Math.abs(estimateMs - meanMs) / meanMs;
    assert.ok(deviation < 0.03, String(estimateMs));
  }
});

test("a slowdown of the only kind of calls shows within ten of them", () => {
  const holdTime = new ClassHoldTime();
  assert.is(holdTime.averageMs, undefined);
  const observe = (durationMs: number, count: number) => {
    for (let call = 0; call < count; call += 1) {
      holdTime.observe(durationMs, true);
    }
  };
  observe(20, 50);
  assert.is(holdTime.averageMs, 20);
  observe(100, 10);
  assert.ok((holdTime.averageMs ?? 0) > 90, String(holdTime.averageMs));
});

test.run();
