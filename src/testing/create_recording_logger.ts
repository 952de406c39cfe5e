/**
 * A logger that keeps its lines, for tests.
 */

import type { LogContext, Logger, LogLevel } from "../telemetry/mod.ts";

/** A kept line. */
export interface RecordedLine {
  readonly level: LogLevel;
  readonly event: string;
  readonly fields: LogContext;
}

/**
 * Creates a logger that keeps its lines.
 *
 * @returns The logger and its lines, to which later ones are added
 *
 * @example
 * const { log, lines } = createRecordingLogger();
 */
export function createRecordingLogger(): {
  log: Logger;
  lines: RecordedLine[];
} {
  const lines: RecordedLine[] = [];
  const add = (level: LogLevel) => (fields: LogContext, event: string) => {
    lines.push({ level, event, fields });
  };
  const log = {
    ...{ debug: add("debug"), info: add("info") },
    ...{ warn: add("warn"), error: add("error") },
  };
  return { log, lines };
}
