/**
 * One overload of one fleet: calm, trigger, recovery.
 */

import { computeWastedWorkRatio, driveLoad } from "../load/mod.ts";
import type { LoadPhase, LoadReport } from "../load/mod.ts";
import { Fleet } from "../fleet.ts";
import type { FleetPlan, VmPlan } from "../fleet.ts";
import { measureCapacity } from "./measure_capacity.ts";
import type { OverloadScenario } from "./create_overload_scenario.ts";

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

const CALM_PHASE_MS = 5_000;
const TRIGGER_PHASE_MS = 10_000;
const RECOVERY_PHASE_MS = 10_000;
const CAPACITY_MEASUREMENT_MS = 1_500;
const BUCKET_MS = 250;
const MEMBER_COUNT = 1_000;
/** Share of the capacity that callers ask for before and after the trigger. */
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
 * Starts a fleet, overloads it and stops it.
 *
 * @param scenario - The user's scenario
 * @param options - Trigger, protection and network
 * @returns What callers and backend servers saw
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
  let triggerAtMs = 0;
  const report = await driveLoad({
    phases: createPhases(scenario, {
      normalPerSecond: normalCapacityPerSecond,
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
    triggerStartMs: CALM_PHASE_MS,
    triggerEndMs: CALM_PHASE_MS + TRIGGER_PHASE_MS,
    endMs: CALM_PHASE_MS + TRIGGER_PHASE_MS + RECOVERY_PHASE_MS,
  };
}

function createPhases(
  scenario: OverloadScenario,
  { normalPerSecond, trigger }: { normalPerSecond: number; trigger: Trigger },
): LoadPhase[] {
  const total = scenario.kinds.reduce((sum, { weight }) => sum + weight, 0);
  const throughDeepest = scenario.kinds
    .filter((kind) => reachesDeepestService(scenario, kind.pathPrefix))
    .reduce((sum, { weight }) => sum + weight, 0);
  const ratePerSecond = normalPerSecond * total / throughDeepest;
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
 * Tells whether requests below a path prefix pass through the deepest service.
 *
 * @param scenario - The user's scenario
 * @param pathPrefix - Path prefix of a request kind
 * @returns Whether they do
 *
 * @example
 * const kinds = scenario.kinds.filter(({ pathPrefix }) => reachesDeepest(scenario, pathPrefix));
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
