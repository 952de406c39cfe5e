/**
 * Memory and processor time of daemon processes at rest.
 */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { readFile } from "node:fs/promises";
import { claimNetwork } from "../../testing/claim_network.ts";
import { createMorningFleet } from "../create_morning_fleet.ts";
import { Fleet } from "../fleet.ts";
import type { VmPlan } from "../fleet.ts";

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

const SETTLE_MS = 15_000;
const WINDOW_MS = 15_000;
const TICKS_PER_SECOND = 100;
const KB_PER_MB = 1_024;
const MS_PER_SECOND = 1_000;

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
  const plan = createMorningFleet({
    protection: "on",
    network: await claimNetwork(),
    slots: 8,
  });
  const fleet = new Fleet({ ...plan, vms: repeatVms(plan.vms, daemons) });
  const bare = spawn("node", ["-e", "setInterval(() => undefined, 1000)"]);
  try {
    await fleet.start();
    await sleep(SETTLE_MS);
    const processes = fleet.vms.map(({ daemon }) => daemon);
    const before = await Promise.all(processes.map(readTicks));
    await sleep(WINDOW_MS);
    const after = await Promise.all(processes.map(readTicks));
    const ticks = after.map((value, index) => value - (before[index] ?? 0));
    const residentMb = average(await Promise.all(processes.map(readResident)));
    const bareNodeMb = await readResident(bare);
    const seconds = WINDOW_MS / MS_PER_SECOND;
    return {
      daemons,
      residentMb,
      bareNodeMb,
      controlMb: residentMb - bareNodeMb,
      coreRatio: average(ticks) / TICKS_PER_SECOND / seconds,
    };
  } finally {
    bare.kill("SIGKILL");
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

async function readTicks({ pid }: ChildProcess): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return Number(fields[11]) + Number(fields[12]);
}

async function readResident({ pid }: ChildProcess): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
