/**
 * Log lines and metrics of delays of the event loop.
 */

import type { DaemonMetrics, Logger } from "../telemetry/mod.ts";
import type { LoopDelay } from "./event_loop_watch.ts";

/** Share of a delay for which the process must have used a processor for its own work to be the cause. */
const BUSY_RATIO = 0.5;

const MS_PER_SECOND = 1_000;

/** Where delays are reported. */
export interface LoopDelayReport {
  readonly log: Logger;
  readonly metrics: DaemonMetrics;
}

/**
 * Logs and counts a delay of the event loop, with what tells its cause: a
 * process that was busy has used about as much processor time as it was late,
 * one that was not run has used little.
 *
 * @param report - Log and metrics
 * @param delay - The delay
 *
 * @example
 * eventLoop.start((delay) => reportLoopDelay(environment, delay));
 */
export function reportLoopDelay(
  { log, metrics }: LoopDelayReport,
  delay: LoopDelay,
): void {
  const isBusy = delay.processorMs >= delay.lateMs * BUSY_RATIO;
  const cause = isBusy ? "busy" : "not-run";
  metrics.process.loopDelays.inc({ cause });
  metrics.process.loopDelaySeconds.inc(
    { cause },
    delay.lateMs / MS_PER_SECOND,
  );
  log.warn({
    cause,
    lateMs: Math.round(delay.lateMs),
    spanMs: Math.round(delay.spanMs),
    processorMs: Math.round(delay.processorMs),
    collectionMs: Math.round(delay.collectionMs),
    requestsRead: delay.requestsRead,
    callsRead: delay.callsRead,
    requestsAbandoned: delay.requestsAbandoned,
  }, "event-loop-late");
}
