/**
 * Memory and processor time of daemon processes at rest.
 */

import { spawn } from "node:child_process";
import { claimNetwork } from "../../testing/claim_network.ts";
import { createTestFleetPlan } from "../create_test_fleet_plan.ts";
import { Fleet } from "../fleet.ts";
import type { VmPlan } from "../fleet.ts";
import { readProcessUsage } from "../read_process_usage.ts";

/** What was measured with one number of processes. */
export interface ProcessSample {
  readonly daemons: number;
  readonly residentMb: number;
  readonly bareNodeMb: number;
  /** Resident memory beyond that of bare Node. */
  readonly controlMb: number;
  /** Share of one core that a daemon uses at rest. */
  readonly coreRatio: number;
}

const SETTLE_MS = 10_000;
const WINDOW_MS = 10_000;

/**
 * Measures daemons that serve no load.
 *
 * @param daemons - Processes; a multiple of four
 * @returns What was measured
 *
 * @example
 * const sample = await measureProcesses(16);
 */
export async function measureProcesses(
  daemons: number,
): Promise<ProcessSample> {
  const plan = createTestFleetPlan({
    protection: "on",
    network: await claimNetwork(),
    slots: 8,
  });
  const fleet = new Fleet({ ...plan, vms: repeatVms(plan.vms, daemons) });
  const bareNode = spawn("node", ["-e", "setInterval(() => undefined, 1000)"]);
  try {
    await fleet.start();
    await sleep(SETTLE_MS);
    const readAll = () =>
      Promise.all(fleet.vms.map(({ daemon }) => readProcessUsage(daemon.pid)));
    const before = await readAll();
    await sleep(WINDOW_MS);
    const after = await readAll();
    const cpuMs = after.map((usage, index) =>
      usage.cpuMs - (before[index]?.cpuMs ?? 0)
    );
    const residentMb = average(after.map((usage) => usage.residentMb));
    const bareNodeMb = (await readProcessUsage(bareNode.pid)).residentMb;
    return {
      daemons,
      residentMb,
      bareNodeMb,
      controlMb: residentMb - bareNodeMb,
      coreRatio: average(cpuMs) / WINDOW_MS,
    };
  } finally {
    bareNode.kill("SIGKILL");
    await fleet.stop();
  }
}

/** Fills the same failure domains with as many instances as wanted. */
function repeatVms(vms: readonly VmPlan[], count: number): VmPlan[] {
  return Array.from({ length: count }, (_, index) => {
    const vm = vms[index % vms.length] as VmPlan;
    const round = Math.floor(index / vms.length);
    const [a, b, c, d] = vm.address.split(".");
    return { ...vm, address: `${a}.${b}.${c}.${Number(d) + 10 * round}` };
  });
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
