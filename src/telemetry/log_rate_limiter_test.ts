import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { LogRateLimiter } from "./log_rate_limiter.ts";

test("a flood of one event is limited and counted without suppressing other events", () => {
  const clock = new ManualClock();
  const limiter = new LogRateLimiter(clock);
  const taken = Array.from({ length: 1_000 }, () => limiter.take("refusal"))
    .filter((suppressed) => suppressed !== undefined);
  assert.ok(taken.length < 50);
  assert.is(limiter.take("ejection"), 0);
  clock.advance(1_000);
  assert.is(limiter.take("refusal"), 1_000 - taken.length);
  assert.is(limiter.take("refusal"), 0);
});

test("events beyond the number of token buckets are limited together", () => {
  const limiter = new LogRateLimiter(new ManualClock());
  Array.from({ length: 256 }, (_, index) => limiter.take(`event-${index}`));
  const taken = Array.from(
    { length: 1_000 },
    (_, index) => limiter.take(`other-${index}`),
  ).filter((suppressed) => suppressed !== undefined);
  assert.ok(taken.length < 50, `${taken.length} lines`);
});

test.run();
