/**
 * Deployments without client accounts whose request trees meet in one scarce
 * service: their services, kinds of requests and rates, for {@link CallTreeLoad}.
 */

import type { CompiledRequest } from "../configuration/mod.ts";
import type { TreeCall, TreeSource } from "./call_tree_load.ts";
import type { TreeService } from "./create_tree_fleet.ts";

/** A kind of request of callers. */
export interface TreeKind {
  readonly name: string;
  readonly classRank: number;
  readonly root: TreeCall;
  readonly targetLatencyMs: number;
  readonly requestsPerSecond: number;
  /** Worth of a response within the target latency, and of a later one. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** Services of a deployment, and what callers ask of them. */
export interface TreeDeployment {
  readonly name: string;
  readonly entries: number;
  readonly services: Readonly<Record<string, TreeService>>;
  readonly scarceService: string;
  /** The most important kinds first. */
  readonly kinds: readonly TreeKind[];
}

const SPEEDS = [0.5, 1, 1, 1.5];
const UNEVEN_SPEEDS = [0.7, 0.7, 1.6];

interface DeepCallTimes {
  readonly lookups: number;
  readonly lookupMs: number;
  /** Time limits of the three nested levels, the outermost first, in milliseconds. */
  readonly timeLimitsMs: readonly [number, number, number];
}

/** Creates the nested calls of both deep kinds: a ledger calls a catalogue, which calls the scarce service several times in sequence. */
function createNestedCalls(
  { lookups, lookupMs, timeLimitsMs }: DeepCallTimes,
): { readonly ledger: TreeCall; readonly catalogue: TreeCall } {
  const [ledgerLimitMs, catalogueLimitMs, lookupLimitMs] = timeLimitsMs;
  const lookup = {
    ...{ service: "stock", workMs: lookupMs, timeLimitMs: lookupLimitMs },
  };
  const catalogue = {
    ...{ service: "sheets", workMs: 15, timeLimitMs: catalogueLimitMs },
    calls: Array<TreeCall>(lookups).fill(lookup),
  };
  const ledger = {
    ...{ service: "ledger", workMs: 15, timeLimitMs: ledgerLimitMs },
    calls: [catalogue],
  };
  return { ledger, catalogue };
}

interface KindTimes {
  readonly requestsPerSecond: number;
  readonly workMs: number;
  readonly targetLatencyMs: number;
  readonly timeLimitMs: number;
  readonly lateWorth: number;
}

interface DeploymentTimes extends DeepCallTimes {
  readonly name: string;
  readonly entries: number;
  readonly services: Readonly<Record<string, TreeService>>;
  readonly deliveries: KindTimes;
  readonly looks: KindTimes;
  readonly rounds: KindTimes;
  readonly sheets: KindTimes;
}

function createDeployment(times: DeploymentTimes): TreeDeployment {
  const { ledger, catalogue } = createNestedCalls(times);
  const { name, entries, services, deliveries, looks, rounds, sheets } = times;
  return {
    ...{ name, entries, services, scarceService: "stock" },
    kinds: [
      {
        ...{ ...deliveries, name: "deliveries", classRank: 0, worth: 3 },
        root: { ...deliveries, service: "ledger", calls: [catalogue] },
      },
      {
        ...{ ...looks, name: "looks", classRank: 1, worth: 2 },
        root: { ...looks, service: "stock" },
      },
      {
        ...{ ...rounds, name: "rounds", classRank: 2, worth: 1 },
        root: { ...rounds, service: "rounds", calls: [ledger] },
      },
      {
        ...{ ...sheets, name: "sheets", classRank: 2, worth: 1 },
        root: { ...sheets, service: "sheets" },
      },
    ],
  };
}

/** Deployments at the rates of their busiest days, before bursts. */
export const TREE_DEPLOYMENTS: readonly TreeDeployment[] = [
  createDeployment({
    ...{ name: "16 daemons", entries: 16, lookups: 4, lookupMs: 22 },
    timeLimitsMs: [2_500, 2_000, 700],
    services: {
      rounds: { instances: 5, slots: 149, speeds: SPEEDS },
      ledger: { instances: 4, slots: 186, speeds: UNEVEN_SPEEDS },
      sheets: { instances: 4, slots: 186, speeds: UNEVEN_SPEEDS },
      stock: { instances: 4, slots: 25, speeds: SPEEDS },
    },
    deliveries: {
      ...{ requestsPerSecond: 166, workMs: 120, targetLatencyMs: 1_500 },
      ...{ timeLimitMs: 1_000, lateWorth: 0.6 },
    },
    looks: {
      ...{ requestsPerSecond: 124, workMs: 36, targetLatencyMs: 250 },
      ...{ timeLimitMs: 1_000, lateWorth: 0.6 },
    },
    rounds: {
      ...{ requestsPerSecond: 472, workMs: 90, targetLatencyMs: 1_200 },
      ...{ timeLimitMs: 800, lateWorth: 0.3 },
    },
    sheets: {
      ...{ requestsPerSecond: 49, workMs: 72, targetLatencyMs: 400 },
      ...{ timeLimitMs: 1_500, lateWorth: 0.3 },
    },
  }),
  createDeployment({
    ...{ name: "83 daemons", entries: 83, lookups: 4, lookupMs: 43 },
    timeLimitsMs: [2_500, 2_000, 700],
    services: {
      rounds: { instances: 43, slots: 59, speeds: SPEEDS },
      ledger: { instances: 28, slots: 90, speeds: UNEVEN_SPEEDS },
      sheets: { instances: 7, slots: 360, speeds: UNEVEN_SPEEDS },
      stock: { instances: 5, slots: 133, speeds: SPEEDS },
    },
    deliveries: {
      ...{ requestsPerSecond: 490, workMs: 230, targetLatencyMs: 1_500 },
      ...{ timeLimitMs: 2_000, lateWorth: 0.6 },
    },
    looks: {
      ...{ requestsPerSecond: 368, workMs: 69, targetLatencyMs: 400 },
      ...{ timeLimitMs: 800, lateWorth: 0.6 },
    },
    rounds: {
      ...{ requestsPerSecond: 1_397, workMs: 170, targetLatencyMs: 1_500 },
      ...{ timeLimitMs: 1_500, lateWorth: 0.3 },
    },
    sheets: {
      ...{ requestsPerSecond: 145, workMs: 140, targetLatencyMs: 1_000 },
      ...{ timeLimitMs: 4_000, lateWorth: 0.3 },
    },
  }),
  createDeployment({
    ...{ name: "88 daemons", entries: 88, lookups: 5, lookupMs: 30 },
    timeLimitsMs: [3_000, 2_500, 700],
    services: {
      rounds: { instances: 46, slots: 53, speeds: [0.6, 1, 1.4] },
      ledger: { instances: 28, slots: 87, speeds: [0.6, 1, 1.4] },
      sheets: { instances: 8, slots: 306, speeds: [0.6, 1, 1.4] },
      stock: { instances: 6, slots: 93, speeds: UNEVEN_SPEEDS },
    },
    deliveries: {
      ...{ requestsPerSecond: 452, workMs: 150, targetLatencyMs: 1_500 },
      ...{ timeLimitMs: 1_500, lateWorth: 1 },
    },
    looks: {
      ...{ requestsPerSecond: 405, workMs: 47, targetLatencyMs: 400 },
      ...{ timeLimitMs: 800, lateWorth: 1 },
    },
    rounds: {
      ...{ requestsPerSecond: 1_381, workMs: 120, targetLatencyMs: 1_500 },
      ...{ timeLimitMs: 1_200, lateWorth: 0.5 },
    },
    sheets: {
      ...{ requestsPerSecond: 162, workMs: 95, targetLatencyMs: 800 },
      ...{ timeLimitMs: 3_000, lateWorth: 0.5 },
    },
  }),
];

/**
 * Creates the sources of a deployment's requests.
 *
 * @param deployment - The deployment
 * @param computeRate - Multiple of the usual rates at a time since the start
 * @returns One source for each kind
 *
 * @example
 * const sources = createTreeSources(deployment, () => 1.7);
 */
export function createTreeSources(
  { kinds }: TreeDeployment,
  computeRate: (atMs: number) => number,
): TreeSource[] {
  return kinds.map(
    ({ name, classRank, requestsPerSecond, root, targetLatencyMs }) => ({
      request: {
        ...{ name, classRank, className: `class-${classRank}` },
        service: root.service,
      } as CompiledRequest,
      ...{ member: "", root, targetLatencyMs },
      computeRate: (atMs) => requestsPerSecond * computeRate(atMs),
    }),
  );
}

/** Slot time that a tree takes at a service, in milliseconds. */
function computeSlotMs(call: TreeCall, service: string): number {
  const nested = call.calls ?? [];
  return (call.service === service ? call.workMs : 0) +
    nested.reduce((sum, each) => sum + computeSlotMs(each, service), 0);
}

/** Multiple of a deployment's usual rates that its scarce service just carries. */
export function computeCapacityRatio(deployment: TreeDeployment): number {
  const { kinds, scarceService } = deployment;
  const demandMs = kinds.reduce(
    (sum, { requestsPerSecond, root }) =>
      sum + requestsPerSecond * computeSlotMs(root, scarceService),
    0,
  );
  return computeCapacityMs(deployment) / demandMs;
}

/** Slot time that the scarce service has, in milliseconds per second. */
function computeCapacityMs({ scarceService, services }: TreeDeployment) {
  const service = services[scarceService];
  if (!service) {
    return 0;
  }
  const { instances, slots, speeds = [1] } = service;
  const speedSum = Array.from(
    { length: instances },
    (_, index) => speeds[index % speeds.length] ?? 1,
  ).reduce((sum, speed) => sum + speed, 0);
  return speedSum * slots * 1_000;
}

/**
 * Computes the worth of the best plan: kinds are admitted by worth for each slot
 * of the scarce service, and all that is admitted is served in time.
 *
 * @param deployment - The deployment
 * @param load - Requests of each kind, and the time in which they arrived
 * @returns The worth of the requests that the plan serves
 *
 * @example
 * const worth = computeBestWorth(deployment, { offered: [4_000, 3_000, 11_000, 1_000], durationMs: 8_000 });
 */
export function computeBestWorth(
  deployment: TreeDeployment,
  { offered, durationMs }: {
    readonly offered: readonly number[];
    readonly durationMs: number;
  },
): number {
  const { kinds, scarceService } = deployment;
  let freeMs = computeCapacityMs(deployment) * durationMs / 1_000;
  const plans = kinds.map(({ root, worth }, kind) => ({
    worth,
    count: offered[kind] ?? 0,
    slotMs: computeSlotMs(root, scarceService),
  })).sort((one, other) => other.worth / other.slotMs - one.worth / one.slotMs);
  return plans.reduce((sum, { count, slotMs, worth }) => {
    const admitted = slotMs === 0 ? count : Math.min(count, freeMs / slotMs);
    freeMs -= admitted * slotMs;
    return sum + admitted * worth;
  }, 0);
}
