import * as assert from "uvu/assert";
import { suite } from "uvu";
import { ManualClock } from "../testing/manual_clock.ts";
import { ShedLimit } from "./shed_limit.ts";

const test = suite("limit learned from shed calls");

const SLOTS = 25;

interface Fixture {
  readonly clock: ManualClock;
  readonly limit: ShedLimit;
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  return { clock, limit: new ShedLimit(clock, SLOTS) };
}

interface LoadOptions {
  readonly calls: number;
  readonly intervalMs: number;
  /** Concurrency that callers would reach without the limit. */
  readonly demand: (call: number) => number;
  readonly isShed: (concurrency: number, call: number) => boolean;
}

/** Sends calls up to the limit; returns the number of accepted calls. */
function load({ clock, limit }: Fixture, options: LoadOptions): number {
  const { calls, intervalMs, demand, isShed } = options;
  let accepted = 0;
  for (let call = 0; call < calls; call += 1) {
    clock.advance(intervalMs);
    const concurrency = Math.min(Math.floor(limit.value), demand(call));
    if (isShed(concurrency, call)) {
      limit.recordShed(concurrency);
    } else {
      limit.recordAccepted(concurrency);
      accepted += 1;
    }
  }
  return accepted;
}

/** Sheds eleven of twenty calls, whatever the concurrency. */
function isShedAtAnyLoad(_concurrency: number, call: number): boolean {
  return call * 11 % 20 < 11;
}

function computeDemand(call: number): number {
  return 1 + call * 7 % 12;
}

test("keeps the limit of a backend server that sheds independently of its load", () => {
  const fixture = createFixture();
  load(fixture, {
    calls: 4_000,
    intervalMs: 2,
    demand: computeDemand,
    isShed: isShedAtAnyLoad,
  });
  assert.ok(fixture.limit.value >= SLOTS * 0.8, `limit ${fixture.limit.value}`);
});

test("lowers the limit to the slots that exist", () => {
  const fixture = createFixture();
  const realSlots = 6;
  const fullDemand = { intervalMs: 5, demand: () => SLOTS };
  load(fixture, {
    ...fullDemand,
    calls: 800,
    isShed: (count) => count > realSlots,
  });
  const accepted = load(fixture, {
    ...fullDemand,
    calls: 1_000,
    isShed: (count) => count > realSlots,
  });
  assert.ok(
    fixture.limit.value <= realSlots * 1.5,
    `limit ${fixture.limit.value}`,
  );
  assert.ok(accepted >= 800, `${accepted} of 1000 calls accepted`);
});

test("raises the limit to restored slots although no calls wait for one", () => {
  const fixture = createFixture();
  load(fixture, {
    calls: 400,
    intervalMs: 10,
    demand: () => SLOTS,
    isShed: (count) => count > 2,
  });
  assert.ok(fixture.limit.value < 4, `limit ${fixture.limit.value}`);
  load(fixture, {
    calls: 800,
    intervalMs: 10,
    demand: () => 1,
    isShed: () => false,
  });
  assert.is(Math.floor(fixture.limit.value), SLOTS);
});

test.run();
