import * as assert from "uvu/assert";
import { suite } from "uvu";
import { AdmitLevel } from "./admit_ratio_controller.ts";
import type { LevelInput } from "./admit_ratio_controller.ts";
import { computeAdmitRatios, MIN_ADMIT_RATIO } from "./compute_admit_ratios.ts";
import { DemandWindow } from "./demand_window.ts";
import { smoothDemands } from "./smooth_demands.ts";

const test = suite("share of demand that a service asks for");

function createDemands(...perSecond: number[]) {
  return perSecond.map((each) => ({
    wholePerSecond: each,
    arrivingPerSecond: each,
  }));
}

function createInput(changes: Partial<LevelInput> = {}): LevelInput {
  return {
    nowMs: 0,
    demands: () => createDemands(300),
    slots: 2,
    holdsMs: [20],
    queueDelayMs: 80,
    msPerCall: 10,
    isIdle: () => false,
    reservedRatios: [0],
    ...changes,
  };
}

test("capacity goes to the important classes first", () => {
  const ratios = computeAdmitRatios(createDemands(40, 120, 50), {
    slots: 2,
    holdsMs: [20, 20, 20],
    reservedRatios: [0, 0, 0],
  });
  assert.equal(ratios, [1, 0.5, MIN_ADMIT_RATIO]);
});

test("a class gets what is reserved for it before more important ones take the rest", () => {
  const ratios = computeAdmitRatios(createDemands(200, 100), {
    slots: 2,
    holdsMs: [20, 20],
    reservedRatios: [0, 0.2],
  });
  assert.equal(ratios, [0.4, 0.2]);
});

test("a class whose calls hold their slots for long gets fewer of them", () => {
  const ratios = computeAdmitRatios(createDemands(40, 120), {
    slots: 2,
    holdsMs: [20, 40],
    reservedRatios: [0, 0],
  });
  assert.equal(ratios, [1, 0.25]);
});

test("noise of an estimate is smoothed and a jump is taken at once", () => {
  const [noise] = smoothDemands(createDemands(100), createDemands(120));
  assert.is(noise?.wholePerSecond, 104);
  const [jump] = smoothDemands(createDemands(100), createDemands(300));
  assert.is(jump?.wholePerSecond, 300);
});

test("a class that another service holds back is not held back again", () => {
  const demands = [
    { wholePerSecond: 400, arrivingPerSecond: 80 },
    { wholePerSecond: 20, arrivingPerSecond: 20 },
  ];
  const division = { slots: 2, holdsMs: [20, 20], reservedRatios: [0, 0] };
  assert.equal(computeAdmitRatios(demands, division), [1, 1]);
});

test("a call admitted at a share of a quarter stands for four", () => {
  const window = new DemandWindow();
  for (let atMs = 0; atMs < 2_560; atMs += 40) {
    const mark = { ratio: 0.25, service: "stock", otherRatio: 0.5 };
    window.record({ atMs, classRank: 0, service: "stock", mark });
  }
  const [demand] = window.estimate(2_560, 1);
  assert.equal(demand, { wholePerSecond: 100, arrivingPerSecond: 50 });
});

test("demand that nobody asked for lately is forgotten", () => {
  const window = new DemandWindow();
  window.record({ atMs: 0, classRank: 0, service: "stock", mark: undefined });
  assert.is(window.estimate(3_000, 1)[0]?.wholePerSecond, 0);
});

test("the share is capacity over demand at once", () => {
  const level = new AdmitLevel();
  level.update(createInput());
  assert.ok(Math.abs(level.lowestRatio - 1 / 3) < 1e-9);
});

test("a long queue lowers the share and an empty one raises it", () => {
  const long = new AdmitLevel();
  long.update(createInput({ queueDelayMs: 300 }));
  const empty = new AdmitLevel();
  empty.update(createInput({ queueDelayMs: 0 }));
  assert.ok(long.lowestRatio < 0.2);
  assert.ok(empty.lowestRatio > 0.35);
});

test("a service with idle slots does not begin to refuse", () => {
  const level = new AdmitLevel();
  level.update(createInput({ isIdle: () => true, queueDelayMs: 0 }));
  assert.is(level.lowestRatio, 1);
});

test("idle slots raise the share step by step until all is admitted", () => {
  const level = new AdmitLevel();
  level.update(createInput({ nowMs: -50 }));
  const shares = Array.from({ length: 12 }, (_, tick) => {
    level.update(
      createInput({ nowMs: tick * 50, isIdle: () => true, queueDelayMs: 0 }),
    );
    return level.lowestRatio;
  });
  assert.ok((shares[1] ?? 1) < 0.6);
  assert.is(shares.at(-1), 1);
});

test.run();
