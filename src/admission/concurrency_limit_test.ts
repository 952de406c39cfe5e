import * as assert from "uvu/assert";
import { suite } from "uvu";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";

const test = suite("adaptive concurrency limit");

const SLOTS = 20;

interface Fixture {
  readonly clock: ManualClock;
  readonly limit: ConcurrencyLimit;
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  const limit = new ConcurrencyLimit(clock);
  limit.setCeiling(SLOTS);
  return { clock, limit };
}

/** Runs batches of calls at the full limit; `computeDurationMs` gives their duration at that limit. */
function saturate(
  { clock, limit }: Fixture,
  { batches, computeDurationMs }: {
    batches: number;
    computeDurationMs: (limit: number) => number;
  },
): void {
  for (let batch = 0; batch < batches; batch += 1) {
    const running = limit.value;
    const ownDurationMs = computeDurationMs(running);
    clock.advance(ownDurationMs);
    for (let call = 0; call < running; call += 1) {
      limit.observe({
        ...{ ownDurationMs, isShed: false, isSaturated: true },
        concurrency: running,
      });
    }
  }
}

function observeIdle({ limit }: Fixture, ownDurationMs: number): void {
  limit.observe({
    ...{ ownDurationMs, isShed: false, isSaturated: false },
    concurrency: 1,
  });
}

test("lowers the limit when concurrent calls slow each other down", () => {
  const fixture = createFixture();
  const realSlots = 5;
  observeIdle(fixture, 20);
  const computeDurationMs = (running: number) =>
    20 * Math.max(1, running / realSlots);
  saturate(fixture, { batches: 280, computeDurationMs });
  const limits: number[] = [];
  for (let batch = 0; batch < 120; batch += 1) {
    saturate(fixture, { batches: 1, computeDurationMs });
    limits.push(fixture.limit.value);
  }
  const mean = limits.reduce((sum, each) => sum + each, 0) / limits.length;
  assert.ok(mean <= 10, `mean limit ${mean}`);
  assert.ok(Math.min(...limits) < 10, limits.join(" "));
  assert.ok(Math.max(...limits) <= 11, limits.join(" "));
});

// A step of 0.15 gave up a tenth of the capacity of a backend server that slows down only when nearly full.
test("keeps nearly all slots of a backend server that slows down when nearly full", () => {
  const fixture = createFixture();
  const slots = 100;
  fixture.limit.setCeiling(slots);
  observeIdle(fixture, 10);
  const limits: number[] = [];
  for (let batch = 0; batch < 400; batch += 1) {
    saturate(fixture, {
      batches: 1,
      computeDurationMs: (running) => running >= slots * 0.95 ? 33 : 25,
    });
    limits.push(fixture.limit.value);
  }
  const settled = limits.slice(100);
  const mean = settled.reduce((sum, each) => sum + each, 0) / settled.length;
  assert.ok(mean >= 90 && mean < 95, `mean limit ${mean}`);
  assert.ok(Math.min(...settled) >= 85, limits.join(" "));
});

test("keeps the limit of a backend server that is merely slow", () => {
  const fixture = createFixture();
  observeIdle(fixture, 20);
  saturate(fixture, { batches: 5, computeDurationMs: () => 200 });
  saturate(fixture, { batches: 400, computeDurationMs: () => 200 });
  assert.ok(fixture.limit.value >= SLOTS * 0.8, `limit ${fixture.limit.value}`);
});

test("lowers the limit on shed calls and raises it on accepted ones", () => {
  const fixture = createFixture();
  const shed = { ownDurationMs: 1, isShed: true, isSaturated: true };
  for (let round = 0; round < 5; round += 1) {
    fixture.clock.advance(200);
    fixture.limit.observe({ ...shed, concurrency: fixture.limit.value });
  }
  const lowered = fixture.limit.value;
  assert.ok(lowered < SLOTS * 0.7);
  saturate(fixture, { batches: 200, computeDurationMs: () => 20 });
  assert.is(fixture.limit.value, SLOTS);
});

test("counts a burst of shed calls once", () => {
  const { limit } = createFixture();
  for (let call = 0; call < 50; call += 1) {
    limit.observe({
      ...{ ownDurationMs: 1, isShed: true, isSaturated: true },
      concurrency: SLOTS,
    });
  }
  assert.is(limit.value, SLOTS * 0.9);
});

test("recovers a lowered limit although call durations vary", () => {
  const fixture = createFixture();
  observeIdle(fixture, 5);
  const realSlots = 8;
  const computeSlowedMs = (running: number) =>
    22 * Math.max(1, running / realSlots);
  saturate(fixture, { batches: 400, computeDurationMs: computeSlowedMs });
  assert.ok(fixture.limit.value < SLOTS * 0.7, `limit ${fixture.limit.value}`);
  saturate(fixture, { batches: 3_000, computeDurationMs: () => 22 });
  assert.ok(fixture.limit.value >= SLOTS * 0.8, `limit ${fixture.limit.value}`);
});

/** All backend servers have just started, so no other instance can take the calls that one refuses. */
test("keeps the limit of a cold backend server while it warms up and afterwards", () => {
  const fixture = createFixture();
  const { clock, limit } = fixture;
  assert.is(limit.value, SLOTS);
  for (let announcement = 0; announcement < 4; announcement += 1) {
    const coldMs = 40 - 5 * announcement;
    saturate(fixture, { batches: 10, computeDurationMs: () => coldMs });
    limit.setCeiling(SLOTS);
    assert.ok(limit.value >= SLOTS * 0.8, `limit ${limit.value}`);
  }
  clock.advance(3_000);
  saturate(fixture, { batches: 50, computeDurationMs: () => 20 });
  assert.ok(limit.value >= SLOTS * 0.8, `limit ${limit.value}`);
});

// A gate that takes a mixture of short and long calls for a slowdown loses slots of the scarcest service.
test("keeps the limit when calls of one kind take much longer than those of another", () => {
  const { clock, limit } = createFixture();
  const random = new RandomSource(3);
  for (let batch = 0; batch < 2_000; batch += 1) {
    const kind = random.nextInteger(2);
    const ownDurationMs = kind === 0 ? 30 : 475;
    clock.advance(ownDurationMs);
    for (let call = 0; call < limit.value; call += 1) {
      limit.observe({
        ...{ ownDurationMs, isShed: false, isSaturated: true, kind },
        concurrency: limit.value,
      });
    }
    assert.is(limit.value, SLOTS);
  }
});

test("allows no calls when no slots are announced", () => {
  const { limit } = createFixture();
  limit.setCeiling(0);
  assert.is(limit.value, 0);
});

test.run();
