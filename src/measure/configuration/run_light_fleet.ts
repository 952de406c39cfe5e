/**
 * Runs over fleets of light daemons.
 */

import { findReversions } from "../../testing/check_configuration_history.ts";
import { SimulatedRun } from "./simulated_run.ts";
import type { ChangeTraffic, SimulatedRunOptions } from "./simulated_run.ts";

/** What a run found. */
export interface SimulatedRunResult extends ChangeTraffic {
  readonly daemonCount: number;
  readonly changes: number;
  /** Time from acceptance to force, of each change at each daemon that could be reached. */
  readonly activationMs: readonly number[];
  /** The same for the change accepted just before the outage. */
  readonly outageActivationMs: readonly number[];
  /** Time from the end of the partition until the cut-off domain was up to date. */
  readonly catchUpMs: number;
  readonly reversions: number;
  readonly lostChanges: number;
  /** Restarted daemons that became ready with less than was in force before. */
  readonly earlyReady: number;
}

/**
 * Runs the changes and faults one after the other.
 *
 * @param options - Size of the fleet and of the configuration
 * @returns Times, violations and traffic
 *
 * @example
 * const { inForceMs } = await runLightFleet({ domainCount: 16, daemonsPerDomain: 15, serviceCount: 40, randomSeed: 1 });
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
    reversions: findReversions(run.fleet.events).length,
    lostChanges,
    earlyReady,
  };
}

/**
 * Measures what changes cost a fleet while nothing is wrong.
 *
 * @param options - Size of the fleet and of the configuration
 * @returns Bytes and store calls of one change
 *
 * @example
 * const { storeCallsPerChange } = await measureLightTraffic(options);
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
