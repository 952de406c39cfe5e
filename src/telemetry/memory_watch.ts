/**
 * Warnings before the process passes its memory limit. The system kills a process
 * that does, and that one writes no last line.
 */

import process from "node:process";
import type { Clock } from "../time/mod.ts";
import { flushLogs } from "./logger.ts";
import type { LogContext, Logger } from "./logger.ts";
import type { DaemonMetrics } from "./metrics.ts";

/** Share of the limit from which on warnings are logged. */
const WARNING_RATIO = 0.7;

/** Growth, as a share of the limit, at which the next warning is logged at once. */
const WARNING_STEP_RATIO = 0.1;

/** Interval between warnings while the memory does not grow, in milliseconds. */
const WARNING_INTERVAL_MS = 10_000;

/** Limit and dependencies of a {@link MemoryWatch}. */
export interface MemoryWatchOptions {
  /** Memory past which the system kills the process, in bytes; Infinity if it is not known. */
  readonly limitBytes: number;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: DaemonMetrics;
  /** Returns further fields of a warning that tell what holds the memory. */
  readonly describe: () => LogContext;
  /** Returns the resident memory of the process, in bytes. */
  readonly readResidentBytes?: () => number;
}

/** Compares the memory of the process with its limit. */
export class MemoryWatch {
  readonly #options: MemoryWatchOptions;
  readonly #readResidentBytes: () => number;
  #lastWarningAtMs = Number.NEGATIVE_INFINITY;
  #lastWarningRatio = 0;

  constructor(options: MemoryWatchOptions) {
    this.#options = options;
    this.#readResidentBytes = options.readResidentBytes ??
      (() => process.memoryUsage.rss());
    options.metrics.process.setMemoryLimit(options.limitBytes);
  }

  /** Records the present memory, and logs a warning if it is near the limit. Called periodically. */
  check(): void {
    const { clock, limitBytes, metrics } = this.#options;
    const residentBytes = this.#readResidentBytes();
    metrics.process.recordResident(residentBytes);
    const ratio = residentBytes / limitBytes;
    if (ratio < WARNING_RATIO) {
      this.#lastWarningRatio = 0;
      return;
    }
    const nowMs = clock.monotonicMs();
    const isGrowing = ratio >= this.#lastWarningRatio + WARNING_STEP_RATIO;
    if (isGrowing || nowMs - this.#lastWarningAtMs >= WARNING_INTERVAL_MS) {
      this.#lastWarningAtMs = nowMs;
      this.#lastWarningRatio = ratio;
      this.#warn(residentBytes);
    }
  }

  #warn(residentBytes: number): void {
    const { describe, limitBytes, log, metrics } = this.#options;
    const { heapUsed, heapTotal, external, arrayBuffers } = process
      .memoryUsage();
    metrics.process.memoryWarnings.inc();
    log.warn({
      ...{ residentBytes, limitBytes, heapBytes: heapUsed },
      ...{ heapReservedBytes: heapTotal, externalBytes: external },
      bufferBytes: arrayBuffers,
      ...describe(),
    }, "memory-high");
    void flushLogs(); // The process may be killed before the next batch.
  }
}
