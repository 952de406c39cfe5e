import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { EventLoopWatch, LATE_READ_MS, TICK_MS } from "./mod.ts";
import type { LoopDelay } from "./mod.ts";

const test = suite("event loop watch");

/** Clock that, like that of a process that does not run, may advance before its timers fire. */
class HeldClock extends ManualClock {
  heldMs = 0;

  override monotonicMs(): number {
    return super.monotonicMs() + this.heldMs;
  }
}

function createWatch() {
  const clock = new HeldClock();
  const delays: LoopDelay[] = [];
  const processor = { usedMs: 0 };
  const watch = new EventLoopWatch({
    clock,
    readProcessorMs: () => processor.usedMs,
  });
  watch.start((delay) => delays.push(delay));
  return { clock, delays, processor, watch };
}

test("without delays nothing that is read counts as late", () => {
  const { clock, delays, watch } = createWatch();
  for (let step = 0; step < 200; step += 1) {
    clock.advance(7);
    assert.ok(watch.maxUnreadMs <= 2 * TICK_MS);
    assert.ok(watch.maxUnreadMs < LATE_READ_MS);
    assert.is(watch.lateReadMs, 0);
  }
  watch.stop();
  assert.is(delays.length, 0);
  assert.is(watch.maxUnreadMs, 0);
});

test("what is read after a delay may be as old as it, until all sockets have been polled since", () => {
  const { clock, watch } = createWatch();
  clock.advance(500);
  clock.heldMs = 2_000;
  assert.ok(watch.maxUnreadMs >= 2_000);
  assert.ok(watch.lateReadMs >= 2_000);
  clock.advance(TICK_MS);
  assert.ok(watch.maxUnreadMs >= 2_000);
  clock.advance(TICK_MS);
  assert.ok(watch.maxUnreadMs < LATE_READ_MS);
  watch.stop();
});

for (
  const [usedMs, name] of [[2_000, "busy"], [3, "not run"]] as const
) {
  test(`a delay is reported with its processor time and with what was read after it (${name})`, () => {
    const { clock, delays, processor, watch } = createWatch();
    clock.advance(1_000);
    clock.heldMs = 2_000;
    processor.usedMs += usedMs;
    clock.advance(TICK_MS);
    watch.work.requestsRead += 7;
    watch.work.requestsAbandoned += 5;
    clock.advance(TICK_MS);
    clock.advance(2_000);
    watch.stop();
    assert.is(delays.length, 1);
    const [{ lateMs, processorMs, requestsRead, requestsAbandoned }] =
      delays as [LoopDelay];
    assert.is(Math.round(lateMs / 10), 200);
    assert.is(processorMs, usedMs);
    assert.equal([requestsRead, requestsAbandoned], [7, 5]);
    assert.ok(watch.takeMaxDelayMs() >= 2_000);
    assert.is(watch.takeMaxDelayMs(), 0);
  });
}

test.run();
