/**
 * History test of allowances: random schedules of demand and faults on simulated
 * daemons, checked against the bound of each sliding 5 s and the use of the
 * allowance. Guards against tokens or shares that exist in two places, and
 * against allowances that are wasted.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  computeWindowBound,
  findFullestWindow,
} from "../testing/check_allowance_history.ts";
import { SimulatedAllowances } from "../testing/simulated_allowances.ts";
import type { SimulatedAllowancesPlan } from "../testing/simulated_allowances.ts";
import { RandomSource } from "../time/mod.ts";
import type { AccountLimits } from "./mod.ts";

const DAEMONS = 24;
const DOMAINS = 4;
/** Time until demand begins; the shares of all daemons count by then. */
const WARM_UP_MS = 4_000;
/** Time after a shift of the demand from which the allowance must be used. */
const SHIFT_MS = 3_000;
const STEP_MS = 2;
const SEEDS = [11, 12, 13];

/** Requests of one account; a rate of 0 makes none. */
interface Source {
  readonly account: string;
  readonly perSecond: (atMs: number) => number;
  readonly chooseVm: (atMs: number, random: RandomSource) => number;
  /** Drops the requests that exceed the allowance. */
  readonly conforming?: AccountLimits;
}

const LARGE = { ratePerSecond: 60, burst: 30 };
const SMALL = { ratePerSecond: 2, burst: 0 };
const NO_BURST = { ratePerSecond: 200, burst: 0 };
const MODEST = { ratePerSecond: 30, burst: 15 };
const LIMITS = {
  large: LARGE,
  small: SMALL,
  "no-burst": NO_BURST,
  modest: MODEST,
};

function createFleet(plan: Partial<SimulatedAllowancesPlan>) {
  const fleet = new SimulatedAllowances({
    ...{ seed: 11, daemons: DAEMONS, domains: DOMAINS },
    ...plan,
  });
  for (const [account, limits] of Object.entries(LIMITS)) {
    fleet.setLimits(account, limits);
  }
  return fleet;
}

function spread(_atMs: number, random: RandomSource): number {
  return random.nextInteger(DAEMONS);
}

function listSources(chooseVm = spread): Source[] {
  const source = (
    account: string,
    perSecond: number,
    conforming?: AccountLimits,
  ) => ({
    account,
    chooseVm,
    perSecond: (atMs: number) => atMs < WARM_UP_MS ? 0 : perSecond,
    ...conforming && { conforming },
  });
  return [
    source("large", 180),
    source("small", 20),
    source("no-burst", 600),
    source("modest", 27, MODEST),
  ];
}

/** Plays requests and faults; `faults` are called once when their time has come. */
async function play(
  fleet: SimulatedAllowances,
  { sources, durationMs, faults = [], seed }: {
    readonly sources: readonly Source[];
    readonly durationMs: number;
    readonly faults?: readonly (readonly [number, () => void])[];
    readonly seed: number;
  },
): Promise<void> {
  const random = new RandomSource(seed + 1_000);
  const buckets = new Map<Source, number>();
  const due = [...faults].sort(([one], [other]) => one - other);
  await fleet.run(durationMs, () => {
    const atMs = fleet.nowMs;
    while (due[0] && due[0][0] <= atMs) {
      due.shift()?.[1]();
    }
    for (const source of sources) {
      const { conforming, account } = source;
      const capacity = Math.max(1, conforming?.burst ?? 0);
      const accrued = (conforming?.ratePerSecond ?? 0) * STEP_MS / 1_000;
      const tokens = Math.min(
        capacity,
        (buckets.get(source) ?? capacity) + accrued,
      );
      buckets.set(source, tokens);
      const expected = source.perSecond(atMs) * STEP_MS / 1_000;
      const count = Math.floor(expected) +
        Number(random.nextFloat() < expected % 1);
      for (let index = 0; index < count; index += 1) {
        const left = buckets.get(source) ?? 0;
        if (!conforming || left >= 1) {
          buckets.set(source, left - 1);
          fleet.request(source.chooseVm(atMs, random), account);
        }
      }
    }
  });
}

/** Lists the accounts that got more than they may within any 5 s. */
function listExcesses(fleet: SimulatedAllowances): string[] {
  return Object.entries(LIMITS).flatMap(([account, limits]) => {
    const { count, startMs } = findFullestWindow(fleet.events, account);
    const bound = computeWindowBound(limits);
    return count <= bound
      ? []
      : [`${account} got ${count} of ${bound} in 5 s from ${startMs} ms`];
  });
}

function assertBounds(fleet: SimulatedAllowances, label: string): void {
  assert.equal(listExcesses(fleet), [], label);
}

function countGranted(
  fleet: SimulatedAllowances,
  account: string,
  [fromMs, toMs]: readonly [number, number],
): number {
  return fleet.events.filter((event) =>
    event.account === account && event.isGranted && event.atMs >= fromMs &&
    event.atMs < toMs
  ).length;
}

/** Asserts that the excessive accounts use 0.9 of their allowance in a period. */
function assertUsed(
  fleet: SimulatedAllowances,
  period: readonly [number, number],
  label: string,
): void {
  const [fromMs, toMs] = period;
  for (const account of ["large", "no-burst", "small"] as const) {
    const allowed = LIMITS[account].ratePerSecond * (toMs - fromMs) / 1_000;
    const used = countGranted(fleet, account, period) / allowed;
    assert.ok(used >= 0.9, `${label}: ${account} uses ${used.toFixed(3)}`);
  }
}

function assertNoRefusals(fleet: SimulatedAllowances, label: string): void {
  const refused = fleet.events.filter(({ account, isGranted }) =>
    account === "modest" && !isGranted
  );
  assert.is(
    refused.length,
    0,
    `${label}: modest refused at ${refused[0]?.atMs} ms`,
  );
}

const PHASE_MS = 8_000;
/** Demand at one daemon, spread, at two, and moving every second. */
const SHIFTS = [
  () => 5,
  spread,
  (_: number, random: RandomSource) => 7 + 10 * random.nextInteger(2),
  (atMs: number) => Math.floor(atMs / 1_000) % DAEMONS,
];

for (const seed of SEEDS) {
  test(`all of the allowance is used and no more as demand shifts, seed ${seed}`, async () => {
    const fleet = createFleet({ seed });
    const phase = (atMs: number) =>
      Math.floor((atMs - WARM_UP_MS) / PHASE_MS) % SHIFTS.length;
    const chooseVm = (atMs: number, random: RandomSource) =>
      SHIFTS[Math.max(0, phase(atMs))]?.(atMs, random) ?? 0;
    await play(fleet, {
      seed,
      sources: listSources(chooseVm),
      durationMs: WARM_UP_MS + PHASE_MS * SHIFTS.length,
    });
    assertBounds(fleet, "shifts");
    SHIFTS.forEach((_, index) => {
      const startMs = WARM_UP_MS + index * PHASE_MS;
      const period = [startMs + SHIFT_MS, startMs + PHASE_MS] as const;
      assertUsed(fleet, period, `phase ${index}`);
    });
    assertNoRefusals(fleet, "shifts");
  });
}

test("an account that uses its burst after a pause of all demand is not refused", async () => {
  const fleet = createFleet({ seed: 21 });
  const bursts = Array.from({ length: 6 }, (_, index) => 6_000 + index * 7_000);
  await play(fleet, {
    seed: 21,
    sources: [],
    durationMs: 50_000,
    faults: bursts.map((atMs, index) =>
      [atMs, () => {
        for (let count = 0; count < MODEST.burst; count += 1) {
          fleet.request((index * 5) % DAEMONS, "modest");
        }
      }] as const
    ),
  });
  assert.is(fleet.events.length, MODEST.burst * bursts.length);
  assertNoRefusals(fleet, "bursts");
});

for (const seed of [202, 203, 204]) {
  test(`accounts within their allowance are not refused when all requests move to another daemon, seed ${seed}`, async () => {
    const fleet = createFleet({ seed });
    const chooseVm = (atMs: number) => Math.floor(atMs / 400) % DAEMONS;
    const sources = Object.entries(LIMITS).map(([account, limits]) => ({
      ...{ account, chooseVm, conforming: limits },
      perSecond: (atMs: number) =>
        atMs < WARM_UP_MS ? 0 : limits.ratePerSecond * 1.2,
    }));
    await play(fleet, { seed, sources, durationMs: 30_000 });
    const refused = fleet.events.filter(({ isGranted }) => !isGranted);
    assert.equal(refused.slice(0, 3), [], `${refused.length} refused`);
    assert.ok(fleet.events.length > 5_000);
  });
}

for (const seed of SEEDS) {
  test(`no more is granted while daemons are restarted one after the other, seed ${seed}`, async () => {
    const fleet = createFleet({ seed });
    const faults = Array.from({ length: DAEMONS }, (_, vm) => {
      const atMs = 8_000 + vm * 900;
      const end = () => vm % 2 === 0 ? fleet.kill(vm) : fleet.leave(vm);
      return [[atMs, end], [atMs + 400, () => fleet.start(vm)]] as const;
    }).flat();
    const sources = listSources();
    await play(fleet, { seed, sources, durationMs: 40_000, faults });
    assertBounds(fleet, "restarts");
    assertUsed(fleet, [35_000, 40_000], "after restarts");
  });

  test(`no more is granted when a third of the daemons is paused and resumed, seed ${seed}`, async () => {
    const fleet = createFleet({ seed });
    const third = Array.from({ length: DAEMONS / 3 }, (_, index) => index * 3);
    const faults = [8_000, 14_500, 21_000].flatMap((atMs, round) => {
      const paused = third.map((vm) => vm + round);
      return [
        [atMs, () => paused.forEach((vm) => fleet.pause(vm))],
        [atMs + 3_000, () => paused.forEach((vm) => fleet.resume(vm))],
      ] as const;
    });
    const sources = listSources();
    await play(fleet, { seed, sources, durationMs: 35_000, faults });
    assertBounds(fleet, "pauses");
    assertUsed(fleet, [30_000, 35_000], "after pauses");
  });

  test(`no more is granted when a failure domain is partitioned, seed ${seed}`, async () => {
    const fleet = createFleet({ seed });
    const faults = [
      [8_000, () => fleet.isolate(1)],
      [20_000, () => fleet.isolate(-1)],
      [28_000, () => fleet.isolate(2)],
      [30_500, () => fleet.isolate(-1)],
    ] as const;
    const sources = listSources();
    await play(fleet, { seed, sources, durationMs: 42_000, faults });
    assertBounds(fleet, "partition");
    const isolated = fleet.events.filter(({ atMs, vm, isGranted, account }) =>
      atMs >= 12_000 && atMs < 20_000 && isGranted && account === "large" &&
      fleet.domainOf(vm) === 1
    );
    assert.ok(isolated.length > 30, "the partitioned domain uses its shares");
    assertUsed(fleet, [37_000, 42_000], "after the partition");
  });

  test(`no more is granted when many daemons end at once, seed ${seed}`, async () => {
    const fleet = createFleet({ seed });
    const ended = Array.from({ length: DAEMONS / 2 }, (_, index) => index * 2);
    const all = Array.from({ length: DAEMONS }, (_, vm) => vm);
    const faults = [
      [8_000, () => ended.forEach((vm) => fleet.kill(vm))],
      [9_000, () => ended.forEach((vm) => fleet.start(vm))],
      [20_000, () => all.forEach((vm) => fleet.kill(vm))],
      [20_300, () => all.forEach((vm) => fleet.start(vm))],
    ] as const;
    const sources = listSources();
    await play(fleet, { seed, sources, durationMs: 36_000, faults });
    assertBounds(fleet, "many ended");
    assertUsed(fleet, [31_000, 36_000], "after the restart of all");
  });

  test(`no more is granted when messages are lost or late and views differ, seed ${seed}`, async () => {
    const fleet = createFleet({
      ...{ seed, lossRatio: 0.05, extraDelayMs: 300, viewDelayMs: 3_000 },
    });
    const faults = [3, 9, 14].flatMap((vm, index) => {
      const atMs = 8_000 + index * 5_000;
      return [
        [atMs, () => fleet.kill(vm)],
        [atMs + 2_500, () => fleet.start(vm)],
      ] as const;
    });
    const sources = listSources();
    await play(fleet, { seed, sources, durationMs: 30_000, faults });
    assertBounds(fleet, "losses");
  });
}

test("a lowered limit holds 3 s and one window after its confirmation", async () => {
  const fleet = createFleet({ seed: 31 });
  const lowered = { ratePerSecond: 10, burst: 0 };
  const faults = [
    [12_000, () => fleet.setLimits("large", lowered, 3_000)],
  ] as const;
  const sources = listSources();
  await play(fleet, { seed: 31, sources, durationMs: 26_000, faults });
  assertBounds(fleet, "before and after");
  const { count } = findFullestWindow(fleet.events, "large", 15_000);
  const bound = computeWindowBound(lowered);
  assert.ok(count <= bound, `${count} of ${bound} after the limit was lowered`);
});

const DEFECTS = ["endless-delegation", "uncounted-silent-members"] as const;

for (const defect of DEFECTS) {
  test(`the check of the bound notices the defect ${defect}`, async () => {
    const fleet = createFleet({ seed: 41, defect });
    const faults = [[8_000, () => fleet.isolate(1)]] as const;
    const sources = listSources();
    await play(fleet, { seed: 41, sources, durationMs: 24_000, faults });
    assert.ok(listExcesses(fleet).length > 0);
  });
}

test.run();
