/**
 * Measures how fast a configuration change becomes active on all daemons and what
 * its distribution costs, also with a store outage and a network partition. Runs
 * a simulated fleet in this process, then real daemon processes.
 */

import { measureApplyCost } from "../configuration/measure_apply_cost.ts";
import type { ApplyCost } from "../configuration/measure_apply_cost.ts";
import {
  measureSimulatedTraffic,
  runSimulatedFleet,
} from "../configuration/run_simulated_fleet.ts";
import type { SimulatedRunResult } from "../configuration/run_simulated_fleet.ts";
import { runProcessFleet } from "../configuration/run_process_fleet.ts";
import type { Experiment, ExperimentResult, TableRow } from "../experiment.ts";

const TARGET_SERVICES = 700;
const TARGET_CHANGES_PER_SECOND = 14_000 / 86_400;
const MS_PER_SECOND = 1_000;

const SIMULATED_FLEET_OPTIONS = {
  domainCount: 16,
  daemonsPerDomain: 15,
  serviceCount: 40,
  randomSeed: 801,
} as const;

/** The experiment. */
export const experiment: Experiment = {
  description:
    "time until a change is active on all daemons, with a store outage and a partition",
  async run(): Promise<ExperimentResult> {
    const cost = measureApplyCost(TARGET_SERVICES);
    const simulated = await runSimulatedFleet(SIMULATED_FLEET_OPTIONS);
    const baseline = await measureSimulatedTraffic({
      ...SIMULATED_FLEET_OPTIONS,
      watchersPerDomain: SIMULATED_FLEET_OPTIONS.daemonsPerDomain,
    });
    const processes = await runProcessFleet();
    const { activationMs, outageActivationMs, ...simulatedFields } = simulated;
    return {
      rows: [
        createActivationRow(
          "simulated daemons",
          simulated.daemonCount,
          activationMs,
        ),
        createActivationRow(
          "simulated daemons, just before an outage",
          simulated.daemonCount,
          outageActivationMs,
        ),
        createActivationRow(
          "daemon processes",
          processes.daemonCount,
          processes.activationMs,
        ),
      ],
      fields: {
        inForceP50Ms: findQuantile(activationMs, 0.5),
        inForceP99Ms: findQuantile(activationMs, 0.99),
        inForceMaxMs: findQuantile(activationMs, 1),
        outageInForceMaxMs: findQuantile(outageActivationMs, 1),
        processInForceP99Ms: findQuantile(processes.activationMs, 0.99),
        processInForceMaxMs: findQuantile(processes.activationMs, 1),
        ...simulatedFields,
        reversions: simulated.reversions + processes.reversions,
        baselineStoreCallsPerChange: baseline.storeCallsPerChange,
        ...cost,
        ...computeTargetCosts(simulated, cost),
      },
    };
  },
};

/** Extrapolates the cost for one daemon to the target rate of changes and number of services. */
function computeTargetCosts(simulated: SimulatedRunResult, cost: ApplyCost) {
  const perSecond = TARGET_CHANGES_PER_SECOND;
  return {
    targetBytesPerSecond: simulated.peerBytesPerChange * perSecond,
    targetWatcherBytesPerSecond:
      (simulated.peerBytesPerChange + simulated.watcherStoreBytesPerChange) *
      perSecond,
    targetCoreRatio: cost.applyMs * perSecond / MS_PER_SECOND,
  };
}

function createActivationRow(
  fleet: string,
  daemons: number,
  timesMs: readonly number[],
): TableRow {
  return {
    fleet,
    daemons,
    samples: timesMs.length,
    p50Ms: findQuantile(timesMs, 0.5),
    p99Ms: findQuantile(timesMs, 0.99),
    maxMs: findQuantile(timesMs, 1),
  };
}

/** Returns a quantile by the nearest-rank method, rounded to one decimal place. */
function findQuantile(values: readonly number[], ratio: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.max(0, Math.ceil(sorted.length * ratio) - 1);
  return Math.round((sorted[index] ?? 0) * 10) / 10;
}
