import * as assert from "uvu/assert";
import { suite } from "uvu";
import { AdmitRatioController } from "./admit_ratio_controller.ts";
import type { AdmitRatioInput } from "./admit_ratio_controller.ts";
import { computeAdmitRatios, MIN_ADMIT_RATIO } from "./compute_admit_ratios.ts";
import { DemandWindow } from "./demand_window.ts";
import { smoothDemands } from "./smooth_demands.ts";

const test = suite("admit ratios of a service");

function createDemands(...perSecond: number[]) {
  return perSecond.map((each) => ({
    offeredPerSecond: each,
    arrivingPerSecond: each,
    admittedRatio: 1,
  }));
}

function createInput(changes: Partial<AdmitRatioInput> = {}): AdmitRatioInput {
  return {
    nowMs: 0,
    demands: () => createDemands(300),
    slots: 2,
    holdTimesMs: [20],
    queueDelayMs: 40,
    msPerCall: 10,
    isIdle: () => false,
    reservedRatios: [0],
    ...changes,
  };
}

test("allocates capacity to the most important classes first", () => {
  const ratios = computeAdmitRatios(createDemands(40, 120, 50), {
    slots: 2,
    holdTimesMs: [20, 20, 20],
    reservedRatios: [0, 0, 0],
  });
  assert.equal(ratios, [1, 0.5, MIN_ADMIT_RATIO]);
});

test("allocates reserved slots before more important classes get the rest", () => {
  const ratios = computeAdmitRatios(createDemands(200, 100), {
    slots: 2,
    holdTimesMs: [20, 20],
    reservedRatios: [0, 0.2],
  });
  assert.equal(ratios, [0.4, 0.2]);
});

test("admits fewer calls of a class with longer hold times", () => {
  const ratios = computeAdmitRatios(createDemands(40, 120), {
    slots: 2,
    holdTimesMs: [20, 40],
    reservedRatios: [0, 0],
  });
  assert.equal(ratios, [1, 0.25]);
});

test("smooths estimation noise and passes large changes through", () => {
  const [noise] = smoothDemands(createDemands(100), createDemands(120));
  assert.is(noise?.offeredPerSecond, 104);
  const [jump] = smoothDemands(createDemands(100), createDemands(300));
  assert.is(jump?.offeredPerSecond, 300);
});

test("does not limit a class again that another service already limits", () => {
  const demands = [
    { offeredPerSecond: 400, arrivingPerSecond: 80, admittedRatio: 0.2 },
    { offeredPerSecond: 20, arrivingPerSecond: 20, admittedRatio: 1 },
  ];
  const allocation = {
    slots: 2,
    holdTimesMs: [20, 20],
    reservedRatios: [0, 0],
  };
  assert.equal(computeAdmitRatios(demands, allocation), [1, 1]);
});

test("counts a call admitted at a ratio of 1/4 as four requests", () => {
  const window = new DemandWindow();
  for (let atMs = 0; atMs < 2_560; atMs += 40) {
    const mark = { ratio: 0.25, service: "stock", otherRatio: 0.5 };
    window.record({ atMs, classRank: 0, service: "stock", mark });
  }
  const [demand] = window.estimate(2_560, 1);
  assert.equal(demand, {
    ...{ offeredPerSecond: 100, arrivingPerSecond: 50, admittedRatio: 0.25 },
  });
});

test("drops arrivals that are older than the window", () => {
  const window = new DemandWindow();
  window.record({ atMs: 0, classRank: 0, service: "stock", mark: undefined });
  assert.is(window.estimate(3_000, 1)[0]?.offeredPerSecond, 0);
});

test("sets the ratio to capacity over demand at the first update", () => {
  const controller = new AdmitRatioController();
  controller.update(createInput());
  assert.ok(Math.abs(controller.lowestRatio - 1 / 3) < 1e-9);
});

test("lowers the ratio with a long queue and raises it with an empty one", () => {
  const long = new AdmitRatioController();
  long.update(createInput({ queueDelayMs: 300 }));
  const empty = new AdmitRatioController();
  empty.update(createInput({ queueDelayMs: 0 }));
  assert.ok(long.lowestRatio < 0.2);
  assert.ok(empty.lowestRatio > 0.35);
});

test("does not start refusing while slots are idle", () => {
  const controller = new AdmitRatioController();
  controller.update(createInput({ isIdle: () => true, queueDelayMs: 0 }));
  assert.is(controller.lowestRatio, 1);
});

test("raises the ratio gradually to 1 while slots are idle", () => {
  const controller = new AdmitRatioController();
  controller.update(createInput({ nowMs: -50 }));
  const shares = Array.from({ length: 12 }, (_, tick) => {
    controller.update(
      createInput({ nowMs: tick * 50, isIdle: () => true, queueDelayMs: 0 }),
    );
    return controller.lowestRatio;
  });
  assert.ok((shares[1] ?? 1) < 0.6);
  assert.is(shares.at(-1), 1);
});

// Trees of calls reach a deep service half a second after they were admitted; the ratio rose to 1 before that, and swung.
test("raises the ratio only as far as requests that were admitted at it have arrived", () => {
  const controller = new AdmitRatioController();
  const update = (tick: number, admittedRatio: number) => {
    controller.update(createInput({
      demands: () =>
        createDemands(300).map((each) => ({
          ...each,
          admittedRatio,
        })),
      ...{ nowMs: tick * 50, isIdle: () => tick > 0, queueDelayMs: 40 },
    }));
    return controller.lowestRatio;
  };
  const first = update(0, 1);
  const waiting = Array.from(
    { length: 20 },
    (_, tick) => update(tick + 1, first),
  );
  assert.ok(Math.max(...waiting) < first * 1.4, waiting.join());
  const applied = Array.from(
    { length: 20 },
    (_, tick) => update(tick + 21, controller.lowestRatio),
  );
  assert.is(applied.at(-1), 1);
});

// Entries refused requests in bursts that a queue would have carried within the time that their calls had.
test("a queue that calls have time for is not corrected", () => {
  const demands = () => createDemands(100);
  const update = (changes: Partial<AdmitRatioInput>) => {
    const controller = new AdmitRatioController();
    controller.update(createInput({ demands, queueDelayMs: 150, ...changes }));
    return controller.lowestRatio;
  };
  assert.ok(update({}) < 0.75);
  assert.is(update({ spareMs: 600 }), 1);
  assert.ok(update({ spareMs: 600, queueDelayMs: 600 }) < 0.85);
});

test.run();
