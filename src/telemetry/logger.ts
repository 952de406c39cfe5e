/**
 * Structured logging: one JSON object per line, with a stable event name.
 */

import "./enable_roarr.ts";
import { Roarr } from "roarr";
import type { Logger as RoarrLogger } from "roarr";
import { LineWriter } from "./line_writer.ts";

const standardOutput = new LineWriter();

/** A logger. The second argument of each method is the event name. */
export interface Logger {
  debug(context: LogContext, event: string): void;
  info(context: LogContext, event: string): void;
  warn(context: LogContext, event: string): void;
  error(context: LogContext, event: string): void;
}

/** Additional fields of a log line. */
export type LogContext = Readonly<Record<string, string | number | boolean>>;

/** Log levels, from least to most severe. */
export const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

declare global {
  var ROARR: { write?: (message: string) => void } | undefined;
}

/**
 * Creates a logger that writes JSON lines to standard output.
 *
 * @param minimumLevel - Minimum level that is written
 * @param context - Fields included in every line
 * @returns The logger
 *
 * @example
 * const log = createLogger("info", { incarnation });
 */
export function createLogger(
  minimumLevel: LogLevel,
  context: LogContext,
): Logger {
  const roarr = Roarr.child({ ...context }) as RoarrLogger;
  if (globalThis.ROARR) {
    globalThis.ROARR.write = (message) => standardOutput.add(message);
  }
  const minimum = LOG_LEVELS.indexOf(minimumLevel);
  function write(level: LogLevel, fields: LogContext, event: string): void {
    if (LOG_LEVELS.indexOf(level) >= minimum) {
      roarr[level]({ ...fields, event }, event);
    }
  }
  return {
    debug: (fields, event) => write("debug", fields, event),
    info: (fields, event) => write("info", fields, event),
    warn: (fields, event) => write("warn", fields, event),
    error: (fields, event) => write("error", fields, event),
  };
}

/**
 * Creates a logger that discards every line.
 *
 * @returns The logger
 *
 * @example
 * const log = createSilentLogger();
 */
export function createSilentLogger(): Logger {
  const drop = () => undefined;
  return { debug: drop, info: drop, warn: drop, error: drop };
}

/**
 * Writes all buffered lines; call it before the process exits.
 *
 * @returns A promise that resolves when the lines are written
 *
 * @example
 * await flushLogs();
 */
export function flushLogs(): Promise<void> {
  return standardOutput.flush();
}
