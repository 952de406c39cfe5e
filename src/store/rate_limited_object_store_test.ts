import * as assert from "uvu/assert";
import { suite } from "uvu";
import { advanceUntil } from "../testing/advance_in_steps.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { MemoryObjectStore } from "../testing/memory_object_store.ts";
import { ObjectTable } from "../testing/object_table.ts";
import { RandomSource } from "../time/mod.ts";
import { Backoff } from "./backoff.ts";
import { NO_VERSION } from "./store_version.ts";
import { RateLimitedObjectStore } from "./rate_limited_object_store.ts";

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
