/**
 * Logging, metrics and the decision journal.
 */

export { DecisionJournal, DECISIONS } from "./decision_journal.ts";
export type {
  DecisionFacts,
  DecisionKind,
  JournalEntry,
  JournalFilter,
} from "./decision_journal.ts";
export { FaultReporter, toError } from "./fault_reporter.ts";
export type { FaultKind } from "./fault_reporter.ts";
export { flushLogs } from "./logger.ts";
export { createLogger, createSilentLogger, LOG_LEVELS } from "./logger.ts";
export type { LogContext, Logger, LogLevel } from "./logger.ts";
export { MemoryWatch } from "./memory_watch.ts";
export { DaemonMetrics } from "./metrics.ts";
export { SentBytes } from "./sent_bytes.ts";
export type { SentBytesCount } from "./sent_bytes.ts";
