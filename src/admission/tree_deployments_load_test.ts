/**
 * The worth that deployments without client accounts earn, as a share of the
 * best plan, where the trees of their requests meet in a scarce service.
 */

import { suite } from "uvu";
import * as assert from "uvu/assert";
import { CallTreeLoad } from "../testing/call_tree_load.ts";
import { createTreeFleet } from "../testing/create_tree_fleet.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import {
  computeBestWorth,
  computeCapacityRatio,
  createProcessorResource,
  createSlotResource,
  createTreeSources,
  TREE_DEPLOYMENTS,
} from "../testing/tree_deployments.ts";
import type {
  ScarceResource,
  TreeDeployment,
} from "../testing/tree_deployments.ts";
import type { ProcessorCosts } from "../testing/model_processor.ts";
import type { RandomSource } from "../time/mod.ts";

const test = suite("trees of deployments without accounts");

const COUNTED_FROM_MS = 3_000;
const COUNTED_MS = 6_000;

/** Share of the calls that cross regions, usually and in fleets that spread their load, and the one-way delays of these and of the others, in milliseconds. */
const REMOTE_RATIO = 0.1;
const SPREAD_REMOTE_RATIO = 0.25;
const REMOTE_DELAY_MS = 30;
const NEAR_DELAY_MS = 0.5;

function drawDelayMs(random: RandomSource, remoteRatio: number): number {
  return random.nextFloat() < remoteRatio ? REMOTE_DELAY_MS : NEAR_DELAY_MS;
}

interface Result {
  /** Worth earned, as a share of the best plan. */
  readonly worthRatio: number;
  /** Share of the admitted requests that were not served. */
  readonly wastedRatio: number;
  /** Share of the requests of each kind that were served in time. */
  readonly inTime: Readonly<Record<string, number>>;
}

interface Load {
  readonly seed: number;
  /** Demand in multiples of what the scarce resource carries. */
  readonly demandRatio: number;
  readonly resource: ScarceResource;
  /** Processor time that daemons need; none if absent. */
  readonly processorCosts?: ProcessorCosts;
  /** Share of the calls that cross regions. */
  readonly remoteRatio?: number;
}

async function run(
  deployment: TreeDeployment,
  { seed, demandRatio, resource, processorCosts, remoteRatio }: Load,
): Promise<Result> {
  const clock = new ManualClock();
  const { entries, kinds, services } = deployment;
  const hasProcessors = processorCosts !== undefined;
  const fleet = createTreeFleet({
    ...{ clock, seed, entries, services, hasProcessors },
  });
  const rateRatio = demandRatio * computeCapacityRatio(deployment, resource);
  const counts = await new CallTreeLoad({
    ...{ clock, seed, findFleet: () => fleet },
    drawDelayMs: (random) => drawDelayMs(random, remoteRatio ?? REMOTE_RATIO),
    ...processorCosts && { processorCosts },
    sources: createTreeSources(deployment, () => rateRatio),
    durationMs: COUNTED_FROM_MS + COUNTED_MS,
    countedFromMs: COUNTED_FROM_MS,
  }).run();
  const sum = (read: (count: typeof counts[number], kind: number) => number) =>
    counts.reduce((total, count, kind) => total + read(count, kind), 0);
  const worth = sum(({ served, servedInTime }, kind) =>
    servedInTime * (kinds[kind]?.worth ?? 0) +
    (served - servedInTime) * (kinds[kind]?.lateWorth ?? 0)
  );
  const bestWorth = computeBestWorth(deployment, {
    offered: counts.map(({ offered }) => offered),
    durationMs: COUNTED_MS,
    resource,
  });
  return {
    worthRatio: worth / bestWorth,
    wastedRatio: 1 - sum(({ served }) => served) /
        sum(({ admitted }) => admitted),
    inTime: Object.fromEntries(kinds.map(({ name }, kind) => {
      const { servedInTime = 0, offered = 1 } = counts[kind] ?? {};
      return [name, servedInTime / offered];
    })),
  };
}

/** Processor time with which the daemons of the service before the scarce one have the least room, while slots are free. */
const PROCESSOR_COSTS: ReadonlyMap<string, ProcessorCosts> = new Map([
  ["16 daemons", { runMs: 1, nestedCallMs: 1.5 }],
  ["88 daemons", { runMs: 0.6, nestedCallMs: 0.75 }],
]);

for (const deployment of TREE_DEPLOYMENTS) {
  const resource = createSlotResource(deployment);

  // Entries without accounts learned from outcomes alone, and admitted trees that failed after most of their calls.
  test(`what is admitted at 1.6 times the capacity completes (${deployment.name}, seed 1)`, async () => {
    const result = await run(deployment, {
      ...{ seed: 1, demandRatio: 1.6, resource },
    });
    const text = JSON.stringify(result);
    assert.ok(result.wastedRatio <= 0.1, text);
    assert.ok(result.worthRatio >= 0.95, text);
  });

  test(`nearly everything is served in time at 0.8 times the capacity (${deployment.name}, seed 1)`, async () => {
    const { inTime } = await run(deployment, {
      ...{ seed: 1, demandRatio: 0.8, resource },
    });
    const text = JSON.stringify(inTime);
    assert.ok(Object.values(inTime).every((ratio) => ratio >= 0.995), text);
  });
}

/** Processor time of a daemon that is warm. */
const WARM_COSTS: ProcessorCosts = { runMs: 0.4, nestedCallMs: 0.3 };

for (const deployment of TREE_DEPLOYMENTS) {
  // Each call of a tree waited for up to 80 ms at a service that was just short of slots, so that trees of four ran out of time.
  test(`what is admitted completes when slots are just enough (${deployment.name}, seed 1)`, async () => {
    const result = await run(deployment, {
      ...{ seed: 1, demandRatio: 1, resource: createSlotResource(deployment) },
      ...{ processorCosts: WARM_COSTS, remoteRatio: SPREAD_REMOTE_RATIO },
    });
    assert.ok(result.wastedRatio <= 0.03, JSON.stringify(result));
  });
}

for (const deployment of TREE_DEPLOYMENTS) {
  const costs = PROCESSOR_COSTS.get(deployment.name);
  if (!costs) {
    continue;
  }
  // Daemons were asked for more than their processors carry, and entries learned it from calls that had timed out.
  test(`what is admitted at 1.6 times what processors carry completes (${deployment.name}, seed 1)`, async () => {
    const resource = createProcessorResource(deployment, {
      ...{ service: "sheets", costs },
    });
    const result = await run(deployment, {
      ...{ seed: 1, demandRatio: 1.6, resource, processorCosts: costs },
    });
    const text = JSON.stringify(result);
    assert.ok(result.wastedRatio <= 0.1, text);
    assert.ok(result.worthRatio >= 0.95, text);
    assert.ok((result.inTime["deliveries"] ?? 0) >= 0.99, text);
  });
}

test.run();
