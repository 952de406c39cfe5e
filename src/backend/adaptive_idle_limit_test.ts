import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { AdaptiveIdleLimit } from "./adaptive_idle_limit.ts";

test("a connection dropped after some rest makes shorter rests suspect, for a while", () => {
  const clock = new ManualClock();
  const trust = new AdaptiveIdleLimit(clock);
  assert.is(trust.trustedMs, Number.POSITIVE_INFINITY);
  trust.noteDropped(300);
  assert.is(trust.trustedMs, 150);
  trust.noteDropped(400);
  assert.is(trust.trustedMs, 150);
  trust.noteDropped(200);
  assert.is(trust.trustedMs, 100);
  clock.advance(10_000);
  assert.is(trust.trustedMs, Number.POSITIVE_INFINITY);
});

test("a reset of a busy connection tells nothing about idle ones", () => {
  const trust = new AdaptiveIdleLimit(new ManualClock());
  trust.noteDropped(5);
  assert.is(trust.trustedMs, Number.POSITIVE_INFINITY);
});

test.run();
