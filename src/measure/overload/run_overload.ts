/**
 * One overload of one fleet: calm, trigger, recovery.
 */

import { computeWastedWorkRatio, driveLoad } from "../load/mod.ts";
import type { LoadPhase, LoadReport } from "../load/mod.ts";
import { Fleet } from "../fleet.ts";
import type { FleetPlan, VmPlan } from "../fleet.ts";
import { measureCapacity } from "./measure_capacity.ts";
import type { OverloadShape } from "./overload_shape.ts";

/** What causes the overload. */
export const TRIGGERS = {
  /** Demand rises above capacity. */
  surge: "surge",
  /** The deepest service slows down. */
  slowDeep: "slow-deep",
} as const;

/** One of {@link TRIGGERS}. */
export type Trigger = (typeof TRIGGERS)[keyof typeof TRIGGERS];

/** How a fleet is overloaded. */
export interface OverloadOptions {
  readonly trigger: Trigger;
  readonly protection: "on" | "off";
  /** Second byte of the addresses. */
  readonly network: number;
  readonly randomSeed: number;
}

/** What one overload did to a fleet. */
export interface OverloadRun {
  readonly report: LoadReport;
  /** Calls a second that the deepest service can carry while the trigger lasts. */
  readonly capacityPerSecond: number;
  /** Share of runs since the trigger began that helped no caller. */
  readonly wastedWorkRatio: number;
  readonly triggerStartMs: number;
  readonly triggerEndMs: number;
  readonly endMs: number;
}

const CALM_MS = 5_000;
const TRIGGER_MS = 10_000;
const RECOVERY_MS = 10_000;
const CAPACITY_MS = 1_500;
const BUCKET_MS = 250;
const MEMBERS = 1_000;
/** Share of the capacity that callers ask for before and after the trigger. */
const CALM_RATIOS: Readonly<Record<Trigger, number>> = {
  [TRIGGERS.surge]: 0.7,
  [TRIGGERS.slowDeep]: 0.5,
};
const SURGE_RATIO = 3;
const SLOWDOWN = 10;

const CALLERS = {
  deadlineMs: 2_000,
  attemptTimeoutMs: 1_000,
  maxAttempts: 5,
  backoffMs: 20,
  honorsRetryAfter: false,
} as const;

/**
 * Starts a fleet, overloads it and stops it.
 *
 * @param shape - The user's shape
 * @param options - Trigger, protection and network
 * @returns What callers and backend servers saw
 *
 * @example
 * const run = await runOverload(createVerrouShape(), { trigger, protection, network, randomSeed });
 */
export async function runOverload(
  shape: OverloadShape,
  options: OverloadOptions,
): Promise<OverloadRun> {
  const fleet = new Fleet(createFleetPlan(shape, options));
  await fleet.start();
  const deepest = fleet.vms.filter(({ plan }) =>
    plan.service === shape.deepest
  );
  const setSlowdown = (factor: number) =>
    deepest.forEach(({ backendServer, plan }) => {
      backendServer.behavior.serviceTimeMs = factor *
        (plan.behavior?.serviceTimeMs ?? 0);
    });
  const normalPerSecond = await measureCapacity(deepest, CAPACITY_MS);
  const isSlow = options.trigger === TRIGGERS.slowDeep;
  setSlowdown(isSlow ? SLOWDOWN : 1);
  const capacityPerSecond = await measureCapacity(deepest, CAPACITY_MS);
  setSlowdown(1);
  let triggerAtMs = 0;
  const report = await driveLoad({
    phases: createPhases(shape, {
      normalPerSecond,
      trigger: options.trigger,
    }),
    kinds: shape.kinds,
    behavior: CALLERS,
    entryUrls: fleet.entryUrls,
    memberCount: MEMBERS,
    randomSeed: options.randomSeed,
    requestIdPrefix: `${shape.name}-${options.trigger}`,
    bucketMs: BUCKET_MS,
    onPhase: ({ name }) => {
      setSlowdown(isSlow && name === "trigger" ? SLOWDOWN : 1);
      triggerAtMs = name === "trigger" ? Date.now() : triggerAtMs;
    },
  });
  const runs = fleet.vms.flatMap(({ backendServer }) => backendServer.runs)
    .filter(({ atMs }) => atMs >= triggerAtMs);
  await fleet.stop();
  return {
    report,
    capacityPerSecond,
    wastedWorkRatio: computeWastedWorkRatio(report, runs),
    triggerStartMs: CALM_MS,
    triggerEndMs: CALM_MS + TRIGGER_MS,
    endMs: CALM_MS + TRIGGER_MS + RECOVERY_MS,
  };
}

function createPhases(
  shape: OverloadShape,
  { normalPerSecond, trigger }: { normalPerSecond: number; trigger: Trigger },
): LoadPhase[] {
  const total = shape.kinds.reduce((sum, { weight }) => sum + weight, 0);
  const throughDeepest = shape.kinds
    .filter((kind) => reachesDeepest(shape, kind.pathPrefix))
    .reduce((sum, { weight }) => sum + weight, 0);
  const ratePerSecond = normalPerSecond * total / throughDeepest;
  const calmPerSecond = ratePerSecond * CALM_RATIOS[trigger];
  return [
    { name: "calm", durationMs: CALM_MS, requestsPerSecond: calmPerSecond },
    {
      name: "trigger",
      durationMs: TRIGGER_MS,
      requestsPerSecond: trigger === TRIGGERS.slowDeep
        ? calmPerSecond
        : ratePerSecond * SURGE_RATIO,
    },
    {
      name: "recovery",
      durationMs: RECOVERY_MS,
      requestsPerSecond: calmPerSecond,
    },
  ];
}

/**
 * Tells whether requests below a path prefix pass through the deepest service.
 *
 * @param shape - The user's shape
 * @param pathPrefix - Path prefix of a request kind
 * @returns Whether they do
 *
 * @example
 * const kinds = shape.kinds.filter(({ pathPrefix }) => reachesDeepest(shape, pathPrefix));
 */
export function reachesDeepest(
  shape: OverloadShape,
  pathPrefix: string,
): boolean {
  return shape.chains[pathPrefix.slice(1)]?.includes(shape.deepest) ?? false;
}

function createFleetPlan(
  shape: OverloadShape,
  { protection, network, randomSeed }: OverloadOptions,
): FleetPlan {
  const vms = shape.domains.flatMap((domain, domainIndex) =>
    shape.services.map((service, serviceIndex): VmPlan => ({
      ...domain,
      service: service.name,
      address: `127.${network}.${domainIndex}.${serviceIndex + 1}`,
      slots: service.slots,
      behavior: { serviceTimeMs: service.serviceTimeMs },
    }))
  );
  return {
    configuration: shape.configuration,
    chains: shape.chains,
    vms,
    storeAddress: `127.${network}.255.1`,
    storePort: 7000,
    protection,
    randomSeed,
  };
}
