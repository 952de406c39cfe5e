/**
 * Requests whose trees reach the scarcest service four levels down, in eight of
 * thirteen runs, while that service also gets direct requests of a less
 * important kind: a deployment at a fifth of its size. Where the entry admits
 * more than the scarce service carries, trees fail after most of their runs.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CompiledRequest } from "../configuration/mod.ts";
import { CallTreeLoad } from "../testing/call_tree_load.ts";
import type { TreeCall, TreeSource } from "../testing/call_tree_load.ts";
import { createTreeFleet } from "../testing/create_tree_fleet.ts";
import { ManualClock } from "../testing/manual_clock.ts";

const SEEDS = [1, 2];
const ENTRIES = 12;
const ACCOUNTS = 12;
const SERVICES = {
  meters: { instances: 5, slots: 100 },
  middle: { instances: 5, slots: 100 },
  inspect: { instances: 3, slots: 18 },
};
const DURATION_MS = 14_000;
const COUNTED_FROM_MS = 4_000;

/** Slot time that the scarce service has, in milliseconds per second. */
const CAPACITY_MS = 3 * 18 * 1_000;

const LOOKUP: TreeCall = {
  ...{ service: "inspect", workMs: 30, timeLimitMs: 700 },
};
const THIRD: TreeCall = {
  ...{ service: "middle", workMs: 10, timeLimitMs: 3_000 },
  calls: Array(4).fill(LOOKUP),
};
const SECOND: TreeCall = { ...THIRD, calls: [THIRD] };
const METER_READ: TreeCall = {
  ...{ service: "meters", workMs: 121, timeLimitMs: 5_001 },
  calls: [SECOND, SECOND],
};
const STALL_STATUS: TreeCall = {
  ...{ service: "inspect", workMs: 475, timeLimitMs: 6_000 },
};

interface Kind {
  readonly name: string;
  readonly classRank: number;
  readonly root: TreeCall;
  readonly targetLatencyMs: number;
}

const METERS: Kind = {
  ...{ name: "meter-read", classRank: 1 },
  ...{ root: METER_READ, targetLatencyMs: 1_503 },
};
const STALLS: Kind = {
  ...{ name: "stall-status", classRank: 2 },
  ...{ root: STALL_STATUS, targetLatencyMs: 3_000 },
};

interface Load {
  readonly kind: Kind;
  readonly requestsPerSecond: number;
}

/** Divides a kind among accounts, or sends it without accounts. */
function createSources(
  { kind, requestsPerSecond }: Load,
  hasAccounts: boolean,
): TreeSource[] {
  const { name, classRank, root, targetLatencyMs } = kind;
  const request = {
    ...{ name, classRank, className: name, service: root.service },
  } as CompiledRequest;
  const members = hasAccounts
    ? Array.from({ length: ACCOUNTS }, (_, index) => `account-${index}`)
    : [""];
  return members.map((member) => ({
    ...{ member, request, root, targetLatencyMs },
    computeRate: () => requestsPerSecond / members.length,
  }));
}

interface Result {
  /** Share of the requests of a kind that were served in time. */
  readonly served: readonly number[];
  /** Share of the admitted requests of all kinds that were not served. */
  readonly wastedRatio: number;
  /** Slot time of the scarce service used for served requests, relative to its capacity. */
  readonly goodputRatio: number;
}

async function run(
  loads: readonly Load[],
  { seed, hasAccounts }: { seed: number; hasAccounts: boolean },
): Promise<Result> {
  const clock = new ManualClock();
  const fleet = createTreeFleet({
    ...{ clock, seed, entries: ENTRIES, services: SERVICES },
  });
  const sources = loads.map((load) => createSources(load, hasAccounts));
  const counts = await new CallTreeLoad({
    ...{ clock, seed, sources: sources.flat(), findFleet: () => fleet },
    ...{ durationMs: DURATION_MS, countedFromMs: COUNTED_FROM_MS },
  }).run();
  const perKind = counts.length / loads.length;
  const sums = loads.map((_, kind) =>
    counts.slice(kind * perKind, (kind + 1) * perKind).reduce((sum, each) => ({
      ...sum,
      offered: sum.offered + each.offered,
      admitted: sum.admitted + each.admitted,
      served: sum.served + each.served,
      servedInTime: sum.servedInTime + each.servedInTime,
    }))
  );
  const add = (read: (sum: typeof sums[number], kind: number) => number) =>
    sums.reduce((total, sum, kind) => total + read(sum, kind), 0);
  const slotMs = (kind: number) =>
    loads[kind]?.kind === METERS ? 8 * LOOKUP.workMs : STALL_STATUS.workMs;
  const seconds = (DURATION_MS - COUNTED_FROM_MS) / 1_000;
  return {
    served: sums.map(({ offered, servedInTime }) => servedInTime / offered),
    wastedRatio: 1 - add(({ served }) => served) /
        add(({ admitted }) => admitted),
    goodputRatio: add(({ served }, kind) => served * slotMs(kind)) /
      (CAPACITY_MS * seconds),
  };
}

for (const seed of SEEDS) {
  for (const hasAccounts of [false, true]) {
    const suffix = `${hasAccounts ? "with" : "without"} accounts, seed ${seed}`;

    test(`a burst of direct requests to twice the capacity leaves the trees whole (${suffix})`, async () => {
      const result = await run([
        { kind: METERS, requestsPerSecond: 75 },
        { kind: STALLS, requestsPerSecond: 190 },
      ], { seed, hasAccounts });
      const [meters = 0, stalls = 0] = result.served;
      const text = JSON.stringify(result);
      assert.ok(meters >= stalls && meters >= 0.95, text);
      assert.ok(result.wastedRatio <= 0.1, text);
    });

    test(`at twice the capacity by trees alone, what is admitted completes (${suffix})`, async () => {
      const result = await run([
        { kind: METERS, requestsPerSecond: 450 },
        { kind: STALLS, requestsPerSecond: 14 },
      ], { seed, hasAccounts });
      const [meters = 0, stalls = 0] = result.served;
      const text = JSON.stringify(result);
      assert.ok(meters >= stalls, text);
      assert.ok(result.wastedRatio <= 0.1, text);
    });
  }
}

test.run();
