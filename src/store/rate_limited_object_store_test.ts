import * as assert from "uvu/assert";
import { suite } from "uvu";
import { advanceUntil } from "../testing/advance_in_steps.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { MemoryObjectStore } from "../testing/memory_object_store.ts";
import { ObjectTable } from "../testing/object_table.ts";
import { RandomSource } from "../time/mod.ts";
import { Backoff } from "./backoff.ts";
import { NO_VERSION } from "./store_version.ts";
import {
  createCallLimits,
  RateLimitedObjectStore,
} from "./rate_limited_object_store.ts";
import { createStoreTiming } from "./store_timing.ts";

const test = suite("rate-limited object store");

function createBench() {
  const clock = new ManualClock();
  const inner = new MemoryObjectStore({
    table: new ObjectTable(),
    clock,
    faults: {
      isDown: false,
      losesResponses: false,
      servesStaleReads: false,
      delayMs: 0,
    },
  });
  const store = new RateLimitedObjectStore({
    store: inner,
    clock,
    burstCalls: 5,
    callsPerSecond: 2,
  });
  return { clock, inner, store };
}

async function countAllowedCalls(
  { clock, store }: ReturnType<typeof createBench>,
  count: number,
): Promise<number> {
  let accepted = 0;
  for (let index = 0; index < count; index += 1) {
    const result = await advanceUntil(clock, store.read("key"), 0.001);
    accepted += result.isOk() ? 1 : 0;
  }
  return accepted;
}

test("a burst is allowed, then calls fail without reaching the store", async () => {
  const bench = createBench();
  assert.is(await countAllowedCalls(bench, 20), 5);
  assert.is(bench.inner.traffic.calls, 5);
});

test("calls are allowed again at the sustained rate", async () => {
  const bench = createBench();
  await countAllowedCalls(bench, 20);
  bench.clock.advance(1_000);
  assert.is(await countAllowedCalls(bench, 20), 2);
});

test("a write over the rate limit fails as unavailable, not as unsure", async () => {
  const bench = createBench();
  await countAllowedCalls(bench, 5);
  const written = await bench.store.write("key", 1, NO_VERSION);
  assert.is(written._unsafeUnwrapErr().kind, "unavailable");
});

// With a fixed limit, a short contact time would make a daemon refuse its own watches.
test("the limit leaves room for other calls besides watches, whatever the contact time", () => {
  for (const contactMs of [0, 500, 2_000, 4_000, 20_000]) {
    const timing = createStoreTiming(contactMs);
    const { burstCalls, callsPerSecond } = createCallLimits(timing);
    const watchesPerSecond = 1_000 / timing.watchTimeoutMs;
    assert.ok(callsPerSecond > watchesPerSecond, `${contactMs} ms`);
    assert.ok(burstCalls > 0 && callsPerSecond < 5, `${contactMs} ms`);
  }
});

test("backoff delays grow to their maximum, are jittered and can be reset", () => {
  const backoff = new Backoff(new RandomSource(5), {
    firstDelayMs: 100,
    maxDelayMs: 400,
  });
  const delays = Array.from({ length: 5 }, () => backoff.nextDelayMs());
  for (const [index, limitMs] of [100, 200, 400, 400, 400].entries()) {
    assert.ok(delays[index]! >= limitMs / 2 && delays[index]! <= limitMs);
  }
  assert.is(new Set(delays).size, delays.length);
  backoff.reset();
  assert.ok(backoff.nextDelayMs() <= 100);
});

test.run();
