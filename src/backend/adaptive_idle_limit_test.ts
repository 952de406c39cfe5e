import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { AdaptiveIdleLimit } from "./adaptive_idle_limit.ts";

test("a drop limits the idle time to half for a while", () => {
  const clock = new ManualClock();
  const limit = new AdaptiveIdleLimit(clock);
  assert.is(limit.limitMs, Number.POSITIVE_INFINITY);
  limit.recordDrop(300);
  assert.is(limit.limitMs, 150);
  limit.recordDrop(400);
  assert.is(limit.limitMs, 150);
  limit.recordDrop(200);
  assert.is(limit.limitMs, 100);
  clock.advance(10_000);
  assert.is(limit.limitMs, Number.POSITIVE_INFINITY);
});

test("a reset of a busy connection sets no limit", () => {
  const limit = new AdaptiveIdleLimit(new ManualClock());
  limit.recordDrop(5);
  assert.is(limit.limitMs, Number.POSITIVE_INFINITY);
});

test.run();
