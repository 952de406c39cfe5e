/**
 * Reads the CPU time and the memory of a process from `/proc`.
 */

import { readFile } from "node:fs/promises";

const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const KB_PER_MB = 1_024;

/** Resources that a process uses. */
export interface ProcessUsage {
  /** User and system CPU time since the start of the process, in milliseconds. */
  readonly cpuMs: number;
  /** Resident memory, in mebibytes. */
  readonly residentMb: number;
}

/**
 * Reads the resource usage of a process.
 *
 * @param pid - Process id
 * @returns CPU time since its start and current resident memory; the promise
 *   rejects if the process does not exist
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
