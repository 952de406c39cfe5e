/**
 * Processor time and memory of a process, as the kernel counts them.
 */

import { readFile } from "node:fs/promises";

const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const KB_PER_MB = 1_024;

/** What a process has used. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentMb: number;
}

/**
 * Reads what a process has used so far.
 *
 * @param pid - Id of the process
 * @returns Processor time since its start and resident memory now
 *
 * @example
 * const { cpuMs } = await readProcessUsage(daemon.pid);
 */
export async function readProcessUsage(
  pid: number | undefined,
): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuMs: ticks / TICKS_PER_SECOND * MS_PER_SECOND,
    residentMb: residentKb / KB_PER_MB,
  };
}
