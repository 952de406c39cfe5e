/**
 * Runs one overload of one fleet in three phases: normal load (`calm`), the trigger
 * of the overload, and recovery under normal load.
 */

import { computeWastedWorkRatio, driveLoad } from "../load/mod.ts";
import type { LoadPhase, LoadReport } from "../load/mod.ts";
import { Fleet } from "../fleet.ts";
import type { FleetPlan, VmPlan } from "../fleet.ts";
import { measureCapacity } from "./measure_capacity.ts";
import type { OverloadScenario } from "./create_overload_scenario.ts";

/** Causes of an overload. */
export const TRIGGERS = {
  /** The offered load rises above the capacity. */
  surge: "surge",
  /** The deepest service slows down. */
  slowDeep: "slow-deep",
} as const;

/** One of {@link TRIGGERS}. */
export type Trigger = (typeof TRIGGERS)[keyof typeof TRIGGERS];

/** Options of an overload run. */
export interface OverloadOptions {
  readonly trigger: Trigger;
  readonly protection: "on" | "off";
  /** Second byte of the loopback addresses. */
  readonly network: number;
  readonly randomSeed: number;
}

/** Result of an overload run. */
export interface OverloadRun {
  readonly report: LoadReport;
  /** Capacity of the deepest service during the trigger phase, in calls per second. */
  readonly capacityPerSecond: number;
  /** Share of the runs at backend servers since the start of the trigger whose request was not answered in time, 0 to 1. */
  readonly wastedWorkRatio: number;
  /** Phase boundaries, in milliseconds since the start of the load. */
  readonly triggerStartMs: number;
  readonly triggerEndMs: number;
  readonly endMs: number;
}

const CALM_PHASE_MS = 5_000;
const TRIGGER_PHASE_MS = 10_000;
const RECOVERY_PHASE_MS = 10_000;
const CAPACITY_MEASUREMENT_MS = 1_500;
const BUCKET_MS = 250;
const MEMBER_COUNT = 1_000;
/** Load before and after the trigger, relative to the capacity. */
const NORMAL_LOAD_RATIOS: Readonly<Record<Trigger, number>> = {
  [TRIGGERS.surge]: 0.7,
  [TRIGGERS.slowDeep]: 0.5,
};
const SURGE_RATIO = 3;
const SLOWDOWN_FACTOR = 10;

const CALLER_BEHAVIOR = {
  deadlineMs: 2_000,
  attemptTimeoutMs: 1_000,
  maxAttempts: 5,
  backoffMs: 20,
  honorsRetryAfter: false,
} as const;

/**
 * Starts a fleet, overloads it and stops it. The load is relative to the capacity
 * of the deepest service, which is measured first.
 *
 * @param scenario - Fleet and load
 * @param options - Trigger, protection, loopback network and random seed
 * @returns Load report, capacity and wasted work
 *
 * @example
 * const run = await runOverload(createVerrouScenario(), { trigger, protection, network, randomSeed });
 */
export async function runOverload(
  scenario: OverloadScenario,
  options: OverloadOptions,
): Promise<OverloadRun> {
  const fleet = new Fleet(createFleetPlan(scenario, options));
  await fleet.start();
  const deepestVms = fleet.vms.filter(({ plan }) =>
    plan.service === scenario.deepestService
  );
  const setSlowdown = (factor: number) =>
    deepestVms.forEach(({ backendServer, plan }) => {
      backendServer.behavior.serviceTimeMs = factor *
        (plan.behavior?.serviceTimeMs ?? 0);
    });
  const normalCapacityPerSecond = await measureCapacity(
    deepestVms,
    CAPACITY_MEASUREMENT_MS,
  );
  const isSlow = options.trigger === TRIGGERS.slowDeep;
  setSlowdown(isSlow ? SLOWDOWN_FACTOR : 1);
  const capacityPerSecond = await measureCapacity(
    deepestVms,
    CAPACITY_MEASUREMENT_MS,
  );
  setSlowdown(1);
  let triggerStartedAtMs = 0;
  const report = await driveLoad({
    phases: createPhases(scenario, {
      normalCapacityPerSecond,
      trigger: options.trigger,
    }),
    kinds: scenario.kinds,
    behavior: CALLER_BEHAVIOR,
    entryUrls: fleet.entryUrls,
    memberCount: MEMBER_COUNT,
    randomSeed: options.randomSeed,
    requestIdPrefix: `${scenario.name}-${options.trigger}`,
    bucketMs: BUCKET_MS,
    onPhase: ({ name }) => {
      setSlowdown(isSlow && name === "trigger" ? SLOWDOWN_FACTOR : 1);
      triggerStartedAtMs = name === "trigger" ? Date.now() : triggerStartedAtMs;
    },
  });
  const runs = fleet.vms.flatMap(({ backendServer }) => backendServer.runs)
    .filter(({ atMs }) => atMs >= triggerStartedAtMs);
  await fleet.stop();
  return {
    report,
    capacityPerSecond,
    wastedWorkRatio: computeWastedWorkRatio(report, runs),
    triggerStartMs: CALM_PHASE_MS,
    triggerEndMs: CALM_PHASE_MS + TRIGGER_PHASE_MS,
    endMs: CALM_PHASE_MS + TRIGGER_PHASE_MS + RECOVERY_PHASE_MS,
  };
}

function createPhases(
  scenario: OverloadScenario,
  { normalCapacityPerSecond, trigger }: {
    normalCapacityPerSecond: number;
    trigger: Trigger;
  },
): LoadPhase[] {
  const totalWeight = scenario.kinds.reduce(
    (sum, { weight }) => sum + weight,
    0,
  );
  const weightThroughDeepest = scenario.kinds
    .filter((kind) => reachesDeepestService(scenario, kind.pathPrefix))
    .reduce((sum, { weight }) => sum + weight, 0);
  const ratePerSecond = normalCapacityPerSecond * totalWeight /
    weightThroughDeepest;
  const calmPerSecond = ratePerSecond * NORMAL_LOAD_RATIOS[trigger];
  return [
    {
      name: "calm",
      durationMs: CALM_PHASE_MS,
      requestsPerSecond: calmPerSecond,
    },
    {
      name: "trigger",
      durationMs: TRIGGER_PHASE_MS,
      requestsPerSecond: trigger === TRIGGERS.slowDeep
        ? calmPerSecond
        : ratePerSecond * SURGE_RATIO,
    },
    {
      name: "recovery",
      durationMs: RECOVERY_PHASE_MS,
      requestsPerSecond: calmPerSecond,
    },
  ];
}

/**
 * Checks whether requests with a path prefix pass through the deepest service.
 *
 * @param scenario - Scenario with the call chains
 * @param pathPrefix - Path prefix of a request kind
 * @returns Whether their chain contains the deepest service
 *
 * @example
 * const kinds = scenario.kinds.filter(({ pathPrefix }) => reachesDeepestService(scenario, pathPrefix));
 */
export function reachesDeepestService(
  scenario: OverloadScenario,
  pathPrefix: string,
): boolean {
  return scenario.chains[pathPrefix.slice(1)]?.includes(
    scenario.deepestService,
  ) ?? false;
}

function createFleetPlan(
  scenario: OverloadScenario,
  { protection, network, randomSeed }: OverloadOptions,
): FleetPlan {
  const vms = scenario.domains.flatMap((domain, domainIndex) =>
    scenario.services.map((service, serviceIndex): VmPlan => ({
      ...domain,
      service: service.name,
      address: `127.${network}.${domainIndex}.${serviceIndex + 1}`,
      slots: service.slots,
      behavior: { serviceTimeMs: service.serviceTimeMs },
    }))
  );
  return {
    configuration: scenario.configuration,
    chains: scenario.chains,
    vms,
    storeAddress: `127.${network}.255.1`,
    storePort: 7000,
    protection,
    randomSeed,
  };
}
