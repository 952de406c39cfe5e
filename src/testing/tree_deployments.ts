/**
 * Deployments without client accounts whose request trees meet in one scarce
 * service: their services, kinds of requests and rates, for {@link CallTreeLoad}.
 */

import type { CompiledRequest } from "../configuration/mod.ts";
import type { TreeCall, TreeSource } from "./call_tree_load.ts";
import type { TreeService } from "./create_tree_fleet.ts";
import type { ProcessorCosts } from "./model_processor.ts";

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
  /** Whether callers repeat a request that has failed; false by default. */
  readonly isRepeatable?: boolean;
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
export function createNestedCalls(
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
    (
      { name, classRank, isRepeatable, requestsPerSecond, ...kind },
    ) => ({
      request: {
        ...{ name, classRank, className: `class-${classRank}` },
        service: kind.root.service,
      } as CompiledRequest,
      ...{ member: "", root: kind.root, targetLatencyMs: kind.targetLatencyMs },
      isRepeatable: isRepeatable ?? false,
      computeRate: (atMs) => requestsPerSecond * computeRate(atMs),
    }),
  );
}

/** What limits the requests that a deployment can serve. */
export interface ScarceResource {
  /** Time that the resource has, in milliseconds per second. */
  readonly capacityMs: number;
  /** Computes the time that a request takes of it, in milliseconds. */
  readonly computeCostMs: (root: TreeCall) => number;
}

/** Slots of the scarce service that can be in use without slowing it down. */
export function createSlotResource(
  { scarceService, services }: TreeDeployment,
): ScarceResource {
  const { instances = 0, saturation, slots = 0, speeds = [1] } =
    services[scarceService] ?? {};
  const speedSum = Array.from(
    { length: instances },
    (_, index) => speeds[index % speeds.length] ?? 1,
  ).reduce((sum, speed) => sum + speed, 0);
  const usableRatio = saturation?.ratio ?? 1;
  return {
    capacityMs: speedSum * slots * usableRatio * 1_000,
    computeCostMs: (root) =>
      sumCalls(
        root,
        ({ service, workMs }) => service === scarceService ? workMs : 0,
      ),
  };
}

/** Processors of the daemons of a service. */
export function createProcessorResource(
  { services }: TreeDeployment,
  { service, costs: { runMs, nestedCallMs } }: {
    readonly service: string;
    readonly costs: ProcessorCosts;
  },
): ScarceResource {
  return {
    capacityMs: (services[service]?.instances ?? 0) * 1_000,
    computeCostMs: (root) =>
      sumCalls(
        root,
        ({ service: name, calls = [] }) =>
          name === service ? runMs + calls.length * nestedCallMs : 0,
      ),
  };
}

function sumCalls(call: TreeCall, read: (call: TreeCall) => number): number {
  const nested = call.calls ?? [];
  return read(call) +
    nested.reduce((sum, each) => sum + sumCalls(each, read), 0);
}

/** Multiple of a deployment's usual rates that a resource just carries. */
export function computeCapacityRatio(
  { kinds }: TreeDeployment,
  { capacityMs, computeCostMs }: ScarceResource,
): number {
  const demandMs = kinds.reduce(
    (sum, { requestsPerSecond, root }) =>
      sum + requestsPerSecond * computeCostMs(root),
    0,
  );
  return capacityMs / demandMs;
}

/** Load of a deployment, and what limits it. */
export interface PlannedLoad {
  /** Requests of each kind. */
  readonly offered: readonly number[];
  /** Time in which they arrived, in milliseconds. */
  readonly durationMs: number;
  readonly resource: ScarceResource;
}

/**
 * Computes the worth of the best plan: kinds are admitted by worth for each
 * millisecond of the scarce resource, and all that is admitted is served in time.
 *
 * @param deployment - The deployment
 * @param load - Requests of each kind, and what is scarce
 * @returns The worth of the requests that the plan serves
 *
 * @example
 * const worth = computeBestWorth(deployment, { offered: [4_000, 3_000, 11_000, 1_000], durationMs: 8_000, resource });
 */
export function computeBestWorth(
  { kinds }: TreeDeployment,
  { offered, durationMs, resource }: PlannedLoad,
): number {
  let freeMs = resource.capacityMs * durationMs / 1_000;
  const plans = kinds.map(({ root, worth }, kind) => ({
    worth,
    count: offered[kind] ?? 0,
    costMs: resource.computeCostMs(root),
  })).sort((one, other) => other.worth / other.costMs - one.worth / one.costMs);
  return plans.reduce((sum, { count, costMs, worth }) => {
    const admitted = costMs === 0 ? count : Math.min(count, freeMs / costMs);
    freeMs -= admitted * costMs;
    return sum + admitted * worth;
  }, 0);
}
