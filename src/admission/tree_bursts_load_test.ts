/**
 * The worth that deployments earn while a burst passes that exceeds the capacity
 * of a scarce service for seconds, as a share of the best plan of each second.
 */

import { suite } from "uvu";
import * as assert from "uvu/assert";
import { CallTreeLoad } from "../testing/call_tree_load.ts";
import type { TreeOutcome } from "../testing/call_tree_load.ts";
import { createTreeFleet } from "../testing/create_tree_fleet.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { drawLognormalWork, TREE_BURSTS } from "../testing/tree_bursts.ts";
import type { TreeBurst } from "../testing/tree_bursts.ts";
import {
  computeBestWorth,
  createSlotResource,
  createTreeSources,
} from "../testing/tree_deployments.ts";
import type { TreeDeployment } from "../testing/tree_deployments.ts";

const test = suite("bursts of trees");

const DURATION_MS = 5_000;

/** Length of the periods of which the best plan serves each by itself, in milliseconds. */
const PERIOD_MS = 1_000;

/** Time for which callers wait for a request with its retry, in milliseconds. */
const CALLER_LIMIT_MS = 5_000;

/** Share of the calls in a region that take longer, and the one-way delays, in milliseconds. */
const SLOW_LINK_RATIO = 0.1;
const SLOW_LINK_MS = 30;
const LINK_MS = 0.5;

interface Result {
  /** Worth earned, as a share of the best plan. */
  readonly worthRatio: number;
  /** Share of the admitted requests that were not served. */
  readonly wastedRatio: number;
  /** Lowest share of the requests of a kind that were served, relative to that of all kinds, in any period. */
  readonly lowestKindRatio: number;
}

function sumWorth(
  { kinds }: TreeDeployment,
  outcomes: readonly TreeOutcome[],
): number {
  return outcomes.reduce((sum, { sourceIndex, durationMs, end }) => {
    const kind = kinds[sourceIndex];
    if (!kind || end !== "served") {
      return sum;
    }
    const isInTime = durationMs <= kind.targetLatencyMs;
    return sum + (isInTime ? kind.worth : kind.lateWorth);
  }, 0);
}

function sumBestWorth(
  deployment: TreeDeployment,
  outcomes: readonly TreeOutcome[],
): number {
  const periods = Math.ceil(DURATION_MS / PERIOD_MS);
  const resource = createSlotResource(deployment);
  return Array.from({ length: periods }, (_, period) => {
    const arrived = outcomes.filter(({ arrivedAtMs }) =>
      Math.floor(arrivedAtMs / PERIOD_MS) === period
    );
    const offered = deployment.kinds.map((_, kind) =>
      arrived.filter(({ sourceIndex }) => sourceIndex === kind).length
    );
    return computeBestWorth(deployment, {
      ...{ offered, durationMs: PERIOD_MS, resource },
    });
  }).reduce((sum, worth) => sum + worth, 0);
}

function computeServedRatio(outcomes: readonly TreeOutcome[]): number {
  return outcomes.filter(({ end }) => end === "served").length /
    outcomes.length;
}

function computeLowestKindRatio(
  { kinds }: TreeDeployment,
  outcomes: readonly TreeOutcome[],
): number {
  const periods = Math.ceil(DURATION_MS / PERIOD_MS);
  const ratios = Array.from({ length: periods }, (_, period) => {
    const arrived = outcomes.filter(({ arrivedAtMs }) =>
      Math.floor(arrivedAtMs / PERIOD_MS) === period
    );
    const ratiosByKind = kinds.map((_, kind) =>
      computeServedRatio(
        arrived.filter(({ sourceIndex }) => sourceIndex === kind),
      )
    );
    return Math.min(...ratiosByKind) / computeServedRatio(arrived);
  });
  return Math.min(...ratios);
}

async function run(
  { deployment, computeRate, firstRegionRatio }: TreeBurst,
  seed: number,
): Promise<Result> {
  const clock = new ManualClock();
  const { entries, services } = deployment;
  const fleet = createTreeFleet({
    ...{ clock, seed, entries, services },
    ...firstRegionRatio !== undefined && { firstRegionRatio },
  });
  const outcomes: TreeOutcome[] = [];
  const counts = await new CallTreeLoad({
    ...{ clock, seed, findFleet: () => fleet, drawWork: drawLognormalWork },
    drawDelayMs: (random) =>
      random.nextFloat() < SLOW_LINK_RATIO ? SLOW_LINK_MS : LINK_MS,
    sources: createTreeSources(deployment, computeRate),
    ...{ durationMs: DURATION_MS, countedFromMs: 0, maxAttempts: 1 },
    callerRetries: { maxRetries: 1, timeLimitMs: CALLER_LIMIT_MS },
    onOutcome: (outcome) => outcomes.push(outcome),
  }).run();
  const sum = (read: (count: typeof counts[number]) => number) =>
    counts.reduce((total, count) => total + read(count), 0);
  return {
    worthRatio: sumWorth(deployment, outcomes) /
      sumBestWorth(deployment, outcomes),
    wastedRatio: 1 - sum(({ served }) => served) /
        sum(({ admitted }) => admitted),
    lowestKindRatio: computeLowestKindRatio(deployment, outcomes),
  };
}

for (const burst of TREE_BURSTS) {
  for (const seed of [1, 2]) {
    let running: Promise<Result> | undefined;
    const runOnce = () => running ??= run(burst, seed);

    // Entries refused what queues would have served in time, and nested calls were refused that had time left.
    test(`a burst of seconds earns 0.95 of the best plan (${burst.deployment.name}, seed ${seed})`, async () => {
      const result = await runOnce();
      const text = JSON.stringify(result);
      assert.ok(result.worthRatio >= 0.95, text);
      assert.ok(result.wastedRatio <= 0.1, text);
    });

    // Direct requests to the scarce service were not served for seconds, while trees of their class were.
    test(`no kind is served less than a quarter as often as all in any second of a burst (${burst.deployment.name}, seed ${seed})`, async () => {
      const { lowestKindRatio } = await runOnce();
      assert.ok(lowestKindRatio >= 0.25, String(lowestKindRatio));
    });
  }
}

test.run();
