import { suite } from "uvu";
import * as assert from "uvu/assert";
import { LoopLoad } from "../event_loop/mod.ts";
import type { ProcessorLoad } from "../event_loop/mod.ts";
import { ProcessorCapacity } from "./processor_capacity.ts";

const test = suite("processor time of a daemon");

const HOLD_MS = 20;
const INTERVAL_MS = 50;

/** A daemon that is asked for calls of one class. */
class CapacityFixture {
  readonly load = { utilization: 1, delayMs: 0, isSaturated: true };
  readonly capacity: ProcessorCapacity;
  #nowMs = 1_000;

  constructor(load?: ProcessorLoad) {
    this.capacity = new ProcessorCapacity(load ?? this.load);
  }

  /** Has calls arrive and end for one interval; returns the share of the demand that is allocated at its end. */
  step(
    { offeredPerSecond, endedPerSecond, admittedRatio = 1 }: {
      readonly offeredPerSecond: number;
      readonly endedPerSecond: number;
      readonly admittedRatio?: number;
    },
  ): number {
    const perInterval = INTERVAL_MS / 1_000;
    const begun = offeredPerSecond * admittedRatio * perInterval;
    for (let index = 0; index < begun; index += 1) {
      this.capacity.recordBegin();
    }
    for (let index = 0; index < endedPerSecond * perInterval; index += 1) {
      this.capacity.recordEnd();
    }
    this.#nowMs += INTERVAL_MS;
    const arrivingPerSecond = offeredPerSecond;
    const slots = this.capacity.estimateSlots(
      [{ offeredPerSecond, arrivingPerSecond, admittedRatio }],
      { nowMs: this.#nowMs, holdTimesMs: [HOLD_MS], holdMs: HOLD_MS },
    );
    return Math.min(1, slots / (offeredPerSecond * HOLD_MS / 1_000));
  }

  /** Does so several times; returns the last share. */
  steps(count: number, options: Parameters<this["step"]>[0]): number {
    const ratios = Array.from({ length: count }, () => this.step(options));
    return ratios.at(-1) ?? 1;
  }
}

// Slots were free, so that daemons without processor time were asked for all that callers wanted.
test("with a backlog, what ended lately is allocated, and less until it is worked off", () => {
  const fixture = new CapacityFixture();
  fixture.load.delayMs = 60;
  const load = { offeredPerSecond: 3_000, endedPerSecond: 2_000 };
  const ratio = fixture.steps(10, load);
  assert.ok(ratio > 0.55 && ratio < 2 / 3, String(ratio));
  fixture.load.delayMs = 400;
  const drained = fixture.steps(1, load);
  assert.ok(drained > 0.3 && drained < 0.45, String(drained));
});

test("a busy event loop without a backlog refuses nothing", () => {
  const fixture = new CapacityFixture();
  fixture.load.delayMs = 15;
  const load = { offeredPerSecond: 3_000, endedPerSecond: 2_000 };
  assert.is(fixture.steps(10, load), 1);
});

test("an idle event loop refuses nothing", () => {
  const fixture = new CapacityFixture();
  fixture.load.utilization = 0;
  assert.is(fixture.step({ offeredPerSecond: 3_000, endedPerSecond: 0 }), 1);
});

// A daemon that had been paused without calls asked entries to refuse nearly everything.
test("a daemon that gets no calls refuses none after a delay", () => {
  const fixture = new CapacityFixture();
  fixture.load.delayMs = 2_000;
  const slots = fixture.capacity.estimateSlots(
    [{ offeredPerSecond: 0, arrivingPerSecond: 0, admittedRatio: 1 }],
    { nowMs: 1_000, holdTimesMs: [HOLD_MS], holdMs: HOLD_MS },
  );
  assert.is(slots, Number.POSITIVE_INFINITY);
  assert.not(fixture.capacity.isScarce);
});

// A pause of a few ticks had entries refuse most requests for up to 2 s after it.
for (const pauseMs of [100, 300, 1_000]) {
  test(`a pause of ${pauseMs} ms refuses nothing once it is over`, () => {
    const times = { idle: 0, active: 0 };
    const loop = new LoopLoad(() => ({ ...times }));
    const fixture = new CapacityFixture(loop);
    const tick = (lateMs: number) => {
      times.active += lateMs + 20;
      times.idle += INTERVAL_MS - 20;
      loop.record(lateMs);
    };
    const load = { offeredPerSecond: 1_000, endedPerSecond: 1_000 };
    for (let count = 0; count < 20; count += 1) {
      tick(0);
      fixture.step(load);
    }
    tick(pauseMs);
    const ratios = Array.from({ length: 20 }, () => {
      const ratio = fixture.step({ ...load, endedPerSecond: 400 });
      tick(0);
      return ratio;
    });
    assert.is(Math.min(...ratios), 1, ratios.join(" "));
  });
}

// Ratios that rose at once brought the next backlog before the first requests that were admitted at them arrived.
test("with time to spare again, the share rises step by step to 1", () => {
  const fixture = new CapacityFixture();
  fixture.load.delayMs = 200;
  const load = { offeredPerSecond: 3_000, endedPerSecond: 1_500 };
  const lowest = fixture.steps(10, load);
  fixture.load.delayMs = 0;
  fixture.load.utilization = 0.3;
  const next = fixture.steps(1, { ...load, admittedRatio: lowest });
  assert.ok(next > lowest && next < lowest * 1.1, `${lowest}, ${next}`);
  assert.is(fixture.steps(60, { ...load, admittedRatio: 1 }), 1);
});

// What keeps the process busy may be work for callers of other services.
test("a fifth of the demand is allocated although no call ends", () => {
  const fixture = new CapacityFixture();
  fixture.load.delayMs = 2_000;
  const load = { offeredPerSecond: 3_000, endedPerSecond: 0 };
  const ratio = fixture.steps(40, load);
  assert.ok(Math.abs(ratio - 0.2) < 0.01, String(ratio));
});

test.run();
