/**
 * Distributes configuration changes in fleets of simulated daemons, with and
 * without faults.
 */

import { findVersionViolations } from "../../testing/check_configuration_history.ts";
import { SimulatedRun } from "./simulated_run.ts";
import type { ChangeTraffic, SimulatedRunOptions } from "./simulated_run.ts";

/** Result of a run with faults. */
export interface SimulatedRunResult extends ChangeTraffic {
  readonly daemonCount: number;
  readonly changes: number;
  /** Times from acceptance to activation, for each change and each daemon reachable at that time. */
  readonly activationMs: readonly number[];
  /** Activation times of the change accepted just before the store outage. */
  readonly outageActivationMs: readonly number[];
  /** Time from the end of the partition until all daemons of the partitioned domain were up to date. */
  readonly catchUpMs: number;
  readonly reversions: number;
  readonly lostChanges: number;
  /**
   * Restarted daemons that became ready with a version older than the one active
   * before the restart, and those that did not become ready.
   */
  readonly earlyReady: number;
}

/**
 * Runs changes without faults, around a store outage, during a partition and with
 * restarts while the store serves stale reads.
 *
 * @param options - Size of the fleet and of the configuration
 * @returns Activation times, violations and traffic
 *
 * @example
 * const { activationMs } = await runSimulatedFleet({ domainCount: 16, daemonsPerDomain: 15, serviceCount: 40, randomSeed: 1 });
 */
export async function runSimulatedFleet(
  options: SimulatedRunOptions,
): Promise<SimulatedRunResult> {
  const run = new SimulatedRun(options);
  await run.start();
  const traffic = await run.measureTraffic();
  const outage = await run.writeChangeBeforeOutage();
  await run.writeSeveralChanges();
  const catchUpMs = await run.measureCatchUpMs();
  const earlyReady = await run.countEarlyReadyRestarts();
  await run.writeSeveralChanges();
  const lostChanges = await run.countLostChanges();
  run.fleet.stop();
  return {
    ...traffic,
    daemonCount: run.fleet.daemons.length,
    changes: run.acceptedChanges.length,
    activationMs: run.listActivationMs(run.acceptedChanges),
    outageActivationMs: run.listActivationMs([outage]),
    catchUpMs,
    reversions: findVersionViolations(run.fleet.events).length,
    lostChanges,
    earlyReady,
  };
}

/**
 * Measures the traffic of configuration changes without faults.
 *
 * @param options - Size of the fleet and of the configuration
 * @returns Bytes and store calls per change
 *
 * @example
 * const { storeCallsPerChange } = await measureSimulatedTraffic(options);
 */
export async function measureSimulatedTraffic(
  options: SimulatedRunOptions,
): Promise<ChangeTraffic> {
  const run = new SimulatedRun(options);
  await run.start();
  const traffic = await run.measureTraffic();
  run.fleet.stop();
  return traffic;
}
