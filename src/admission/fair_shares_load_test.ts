/**
 * Client accounts that compete for too little capacity: one asks for far more
 * than its share. Without fair shares its burst takes the capacity of all.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CompiledRequest } from "../configuration/mod.ts";
import { CallTreeLoad } from "../testing/call_tree_load.ts";
import type {
  TreeCall,
  TreeCount,
  TreeSource,
} from "../testing/call_tree_load.ts";
import { createTreeFleet } from "../testing/create_tree_fleet.ts";
import { ManualClock } from "../testing/manual_clock.ts";

const SEEDS = [1, 2, 3];
const INSTANCES = 12;
const SERVICES = {
  front: { instances: INSTANCES, slots: 2 },
  roomy: { instances: INSTANCES, slots: 100 },
};
const WORK_MS = 100;
const TIME_LIMIT_MS = 1_500;
const TARGET_LATENCY_MS = 500;
const LARGE_RATE = 420;
const SMALL_RATE = 20;
const SMALL_ACCOUNTS = 6;
const DURATION_MS = 20_000;
const COUNTED_FROM_MS = 4_000;
const COUNTED_S = (DURATION_MS - COUNTED_FROM_MS) / 1_000;

/** Twice the capacity at twelve entries, and 15 requests a second at each of 60 entries. */
const QUARTER_CASES = [
  { entries: INSTANCES, usualRate: 6 },
  { entries: 60, usualRate: 10 },
];

const ROOT: TreeCall = {
  ...{ service: "front", workMs: WORK_MS, timeLimitMs: TIME_LIMIT_MS },
};

/** The same work, done by four nested calls of a second service. */
const NESTED_ROOT: TreeCall = {
  ...{ service: "roomy", workMs: 5, timeLimitMs: TIME_LIMIT_MS },
  calls: Array.from({ length: 4 }, () => ({
    ...{ service: "front", workMs: WORK_MS / 4, timeLimitMs: 700 },
  })),
};

function createRequest(name: string, classRank: number): CompiledRequest {
  return {
    ...{ name, classRank, className: `class-${classRank}`, service: "front" },
  } as CompiledRequest;
}

const READ = createRequest("read", 1);
const BULK = createRequest("bulk", 2);

function createSource(
  member: string,
  requestsPerSecond: number,
  changes: Partial<TreeSource> = {},
): TreeSource {
  return {
    ...{ member, request: READ, root: ROOT },
    targetLatencyMs: TARGET_LATENCY_MS,
    computeRate: () => requestsPerSecond,
    ...changes,
  };
}

function createSources(changes: Partial<TreeSource> = {}): TreeSource[] {
  return [
    createSource("large", LARGE_RATE, changes),
    ...Array.from(
      { length: SMALL_ACCOUNTS },
      (_, index) => createSource(`small-${index}`, SMALL_RATE, changes),
    ),
  ];
}

interface RunOptions {
  readonly seed: number;
  /** When all daemons lose their counts, in milliseconds; never if undefined. */
  readonly lossAtMs?: number;
  readonly entries?: number;
}

function run(
  sources: readonly TreeSource[],
  { seed, lossAtMs = Number.POSITIVE_INFINITY, entries = INSTANCES }:
    RunOptions,
): Promise<readonly TreeCount[]> {
  const clock = new ManualClock();
  const fleetOptions = { clock, seed, entries, services: SERVICES };
  const first = createTreeFleet(fleetOptions);
  const second = createTreeFleet({ ...fleetOptions, seed: seed + 100 });
  return new CallTreeLoad({
    ...{ clock, seed, sources },
    durationMs: DURATION_MS,
    countedFromMs: COUNTED_FROM_MS,
    findFleet: (atMs) => atMs < lossAtMs ? first : second,
  }).run();
}

function assertFair(counts: readonly TreeCount[]): void {
  const [large, ...small] = counts.slice(0, SMALL_ACCOUNTS + 1);
  const text = JSON.stringify(counts);
  for (const { offered, servedInTime } of small) {
    assert.ok(servedInTime >= offered * 0.95, text);
  }
  assert.ok((large?.served ?? 0) >= 100 * COUNTED_S, text);
}

for (const seed of SEEDS) {
  test(`one account asks for more than the capacity, six small ones are served (seed ${seed})`, async () => {
    assertFair(await run(createSources(), { seed }));
  });

  test(`the same beside a burst of a less important kind (seed ${seed})`, async () => {
    const burst = createSource("burst", 400, { request: BULK });
    assertFair(await run([...createSources(), burst], { seed }));
  });

  test(`the same with nested calls (seed ${seed})`, async () => {
    assertFair(await run(createSources({ root: NESTED_ROOT }), { seed }));
  });

  test(`the same when all daemons lose their counts in the middle (seed ${seed})`, async () => {
    assertFair(await run(createSources(), { seed, lossAtMs: 11_000 }));
  });

  for (const { entries, usualRate } of QUARTER_CASES) {
    // An account that sends 8 times its usual rate among many would get what they get, a small part of what it asks.
    test(`of 73 accounts none is served less than a quarter as often as all (${entries} entries, seed ${seed})`, async () => {
      const sources = Array.from(
        { length: 73 },
        (_, index) =>
          createSource(
            `account-${index}`,
            usualRate * (index === 0 ? 8 : index < 4 ? 4 : 1),
          ),
      );
      const counts = await run(sources, { seed, entries });
      const total = counts.reduce((sum, { served }) => sum + served, 0) /
        counts.reduce((sum, { offered }) => sum + offered, 0);
      for (const { offered, served } of counts) {
        assert.ok(served / offered >= total / 4, JSON.stringify(counts));
      }
    });
  }
}

test.run();
