import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeAdmitRatios } from "./compute_admit_ratios.ts";
import { FairClock } from "./fair_clock.ts";
import { LateCallMeter } from "./late_call_meter.ts";
import type { Waiter } from "./waiting_queue.ts";

function createWaiter(member: string, isNested: boolean): Waiter {
  const clock = new FairClock(0);
  return {
    ...{ classRank: 1, member, isNested, isOverAllowance: false, treeRank: 0 },
    open: { clock, share: clock.open(member, 0), kind: 0 },
    ...{ arrivedAtMs: 0, expiresAtMs: 100 },
  };
}

/** Records 20 calls each 50 ms, of which some are late, and returns the last factor. */
function run(
  meter: LateCallMeter,
  { waiter, late, fromMs }: { waiter: Waiter; late: number; fromMs: number },
): number {
  let factor = 1;
  for (let atMs = fromMs; atMs < fromMs + 5_000; atMs += 50) {
    for (let call = 0; call < 20; call += 1) {
      meter.recordArrival(waiter);
      if (call < late) {
        meter.recordLate(waiter);
      }
    }
    factor = meter.update(atMs);
  }
  return factor;
}

// The queue stays short because calls expire, so that its length shows no overload.
for (const member of ["a", ""]) {
  const suffix = member === "" ? "without accounts" : "of an account";

  test(`late nested calls lower the factor, and it recovers (${suffix})`, () => {
    const meter = new LateCallMeter();
    const waiter = createWaiter(member, true);
    assert.ok(run(meter, { waiter, late: 4, fromMs: 0 }) < 0.7);
    assert.ok(run(meter, { waiter, late: 0, fromMs: 5_000 }) > 0.8);
  });

  test(`late first calls of requests change nothing (${suffix})`, () => {
    const meter = new LateCallMeter();
    const waiter = createWaiter(member, false);
    assert.is(run(meter, { waiter, late: 20, fromMs: 0 }), 1);
  });
}

// A ratio of 1 for a class that was refused until none of it arrived admits a burst of it.
test("a class without recent calls is refused while a more important one takes all slots", () => {
  const demands = [
    { offeredPerSecond: 40, arrivingPerSecond: 40, admittedRatio: 1 },
    { offeredPerSecond: 0, arrivingPerSecond: 0, admittedRatio: 1 },
  ];
  const computeUnseen = (slots: number, reservedRatio = 0) =>
    computeAdmitRatios(demands, {
      ...{ slots, holdTimesMs: [100, 100], reservedRatios: [0, reservedRatio] },
    })[1];
  assert.is(computeUnseen(2), 0.01);
  assert.is(computeUnseen(5), 1);
  assert.is(computeUnseen(2, 0.2), 1);
});

test.run();
