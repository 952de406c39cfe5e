/**
 * Reads from `/proc` what a process has cost so far.
 */

import { readFile } from "node:fs/promises";
import { readProcessUsage } from "../read_process_usage.ts";

const KB_PER_MB = 1_024;

/** Costs of a process since its start. */
export interface ProcessCounts {
  /** User and system CPU time, in milliseconds. */
  readonly cpuMs: number;
  /** Read and write system calls; those that only wait for events are not counted. */
  readonly systemCalls: number;
  /** Times that the process waited for something, and so was woken up. */
  readonly wakeUps: number;
  /** Highest resident memory, in mebibytes. */
  readonly peakMb: number;
}

/**
 * Reads the costs of a process.
 *
 * @param pid - Process id
 * @returns Its costs since its start; the promise rejects if it does not exist
 *
 * @example
 * const { cpuMs } = await readProcessCounts(daemon.pid);
 */
export async function readProcessCounts(
  pid: number | undefined,
): Promise<ProcessCounts> {
  const { cpuMs } = await readProcessUsage(pid);
  const io = await readFile(`/proc/${pid}/io`, "utf8");
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  return {
    cpuMs,
    systemCalls: readNumber(io, "syscr") + readNumber(io, "syscw"),
    wakeUps: readNumber(status, "voluntary_ctxt_switches"),
    peakMb: readNumber(status, "VmHWM") / KB_PER_MB,
  };
}

function readNumber(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text)?.[1] ?? 0);
}
