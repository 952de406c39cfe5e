/**
 * Measures the memory and processor time of idle daemon processes.
 */

import { spawn } from "node:child_process";
import { claimNetwork } from "../../testing/claim_network.ts";
import { createTestFleetPlan } from "../create_test_fleet_plan.ts";
import { Fleet } from "../fleet.ts";
import type { VmPlan } from "../fleet.ts";
import { readProcessUsage } from "../read_process_usage.ts";

/** Averages over the daemons of one fleet. */
export interface ProcessSample {
  readonly daemons: number;
  readonly residentMb: number;
  readonly bareNodeMb: number;
  /** Resident memory in excess of a Node.js process without any program code. */
  readonly controlMb: number;
  /** Share of one core that an idle daemon uses. */
  readonly coreRatio: number;
}

const SETTLE_MS = 10_000;
const WINDOW_MS = 10_000;

/**
 * Starts a fleet without load and measures its daemon processes.
 *
 * @param daemons - Number of daemon processes; a multiple of four
 * @returns Averages over the daemons
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

/** Repeats the planned VMs, with new addresses in the same failure domains, up to a given number. */
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
