/**
 * Reporting of faults that do not end the process.
 */

import type { Clock } from "../time/mod.ts";
import { LogRateLimiter } from "./log_rate_limiter.ts";
import type { LogContext, Logger } from "./logger.ts";
import type { DaemonMetrics } from "./metrics.ts";

/** Log events by kind of fault. */
export const FAULT_EVENTS = {
  /** Exception while a request was handled; the request fails. */
  request: "request-fault",
  /** Error of a listening socket, such as a connection that cannot be accepted. */
  listener: "listener-error",
  /** Rejected promise that nothing handles. */
  rejection: "rejection-unhandled",
  /** System error that nothing handles, which concerns one socket. */
  socket: "socket-error-unhandled",
} as const;

/** One of the keys of {@link FAULT_EVENTS}. */
export type FaultKind = keyof typeof FAULT_EVENTS;

/** Dependencies of the reporter. */
export interface FaultReporterOptions {
  readonly log: Logger;
  readonly metrics: DaemonMetrics;
  readonly clock: Clock;
}

/** Counts faults, and logs them at a limited rate. */
export class FaultReporter {
  readonly #options: FaultReporterOptions;
  readonly #limiter: LogRateLimiter;

  constructor(options: FaultReporterOptions) {
    this.#options = options;
    this.#limiter = new LogRateLimiter(options.clock);
  }

  /** Counts and logs a fault; `fields` say where it occurred. */
  report(kind: FaultKind, thrown: unknown, fields: LogContext = {}): void {
    const { log, metrics } = this.#options;
    metrics.process.faults.inc({ kind });
    const event = FAULT_EVENTS[kind];
    const suppressed = this.#limiter.take(event);
    if (suppressed !== undefined) {
      const { message, stack = "" } = toError(thrown);
      log.error({ ...fields, error: message, stack, suppressed }, event);
    }
  }
}

/**
 * Returns a thrown value as an error.
 *
 * @param thrown - The thrown value, of any type
 * @returns The value itself if it is an error, otherwise an error with its text
 *
 * @example
 * const { message } = toError(thrown);
 */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
