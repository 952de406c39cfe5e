/**
 * Bursts of callers at deployments whose request trees meet in one scarce
 * service, for {@link CallTreeLoad}: the demand rises above the capacity at once
 * and falls below it within seconds.
 */

import type { RandomSource } from "../time/mod.ts";
import { createNestedCalls, TREE_DEPLOYMENTS } from "./tree_deployments.ts";
import type { TreeDeployment } from "./tree_deployments.ts";

/** A deployment and the demand of its callers over time. */
export interface TreeBurst {
  readonly deployment: TreeDeployment;
  /** Share of the requests that enter in the first of two regions; undefined with a single one. */
  readonly firstRegionRatio?: number;
  /** Multiple of the deployment's rates at a time since the start. */
  readonly computeRate: (atMs: number) => number;
}

/** When the bursts start, in milliseconds since the start. */
const BURST_STARTS_AT_MS = 500;

/** Standard deviation of the logarithm of the work times. */
const WORK_DEVIATION = 0.5;

/** Instances whose VM is slow now and then. */
const SLOW_PERIODS = { ratio: 0.15, slowdown: 2.5, periodMs: 600 };

/** The scarce instances, which slow down when nearly full. */
const SATURATION = { ratio: 0.95, slowdown: 1.3 };

interface Wave {
  readonly amplitude: number;
  readonly periodMs: number;
  /** Offset at the start, as a share of the period. */
  readonly phase: number;
}

/** Creates the multiple of the rates for a burst on top of a wave. */
function createBurst(
  factor: number,
  { amplitude, periodMs, phase }: Wave,
): (atMs: number) => number {
  return (atMs) =>
    (atMs < BURST_STARTS_AT_MS ? 1 : factor) *
    (1 + amplitude * Math.sin(2 * Math.PI * (atMs / periodMs + phase)));
}

/** Creates a deployment in which reads reach the scarce service over three hops, while few requests go there directly. */
function createReadDeployment(): TreeDeployment {
  const { ledger, catalogue } = createNestedCalls({
    ...{ lookups: 4, lookupMs: 57, timeLimitsMs: [2_500, 2_000, 700] },
  });
  const slowPeriods = SLOW_PERIODS;
  return {
    ...{ name: "81 daemons", entries: 81, scarceService: "stock" },
    services: {
      rounds: { instances: 44, slots: 55, speeds: [0.6, 1, 1.6], slowPeriods },
      ledger: {
        ...{ instances: 25, slots: 78, speeds: [0.5, 1, 1, 1.5], slowPeriods },
      },
      sheets: { instances: 8, slots: 244, speeds: [0.7, 0.7, 1.6] },
      stock: {
        ...{ instances: 4, slots: 150, speeds: [1.4, 1, 0.6, 1.4] },
        saturation: SATURATION,
      },
    },
    kinds: [
      {
        ...{ name: "debits", classRank: 0, worth: 3, lateWorth: 0.6 },
        ...{ requestsPerSecond: 283, targetLatencyMs: 2_000 },
        root: {
          ...{ service: "ledger", workMs: 260, timeLimitMs: 2_000 },
          calls: [catalogue],
        },
      },
      {
        ...{ name: "uploads", classRank: 1, worth: 2, lateWorth: 0.6 },
        ...{ requestsPerSecond: 97, targetLatencyMs: 1_200 },
        root: { service: "sheets", workMs: 230, timeLimitMs: 5_000 },
      },
      {
        ...{ name: "reads", classRank: 2, worth: 1, lateWorth: 0.3 },
        ...{ requestsPerSecond: 950, targetLatencyMs: 1_500 },
        isRepeatable: true,
        root: {
          ...{ service: "rounds", workMs: 200, timeLimitMs: 1_500 },
          calls: [ledger],
        },
      },
      {
        ...{ name: "refunds", classRank: 2, worth: 1, lateWorth: 0.3 },
        ...{ requestsPerSecond: 88, targetLatencyMs: 600 },
        root: { service: "stock", workMs: 150, timeLimitMs: 1_500 },
      },
    ],
  };
}

/** Makes the scarce instances of a deployment slow down when nearly full. */
function withSaturation(deployment: TreeDeployment): TreeDeployment {
  const { scarceService, services } = deployment;
  const scarce = services[scarceService];
  return scarce
    ? {
      ...deployment,
      services: {
        ...services,
        [scarceService]: { ...scarce, saturation: SATURATION },
      },
    }
    : deployment;
}

/** Bursts by the deployment that they hit. */
export const TREE_BURSTS: readonly TreeBurst[] = [
  {
    deployment: createReadDeployment(),
    firstRegionRatio: 0.57,
    computeRate: createBurst(1.8, {
      ...{ amplitude: 0.54, periodMs: 13_000, phase: 0.21 },
    }),
  },
  ...TREE_DEPLOYMENTS.slice(0, 1).map((deployment) => ({
    deployment: withSaturation(deployment),
    computeRate: createBurst(1.7, {
      ...{ amplitude: 0.1, periodMs: 11_000, phase: 0.46 },
    }),
  })),
];

/** Draws the time of a call relative to the mean, from a lognormal distribution. */
export function drawLognormalWork(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()));
  const normal = radius * Math.cos(2 * Math.PI * random.nextFloat());
  return Math.exp(WORK_DEVIATION * normal - WORK_DEVIATION ** 2 / 2);
}
