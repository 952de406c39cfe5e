/**
 * Phases of a stop.
 *
 * The time that the system grants is known when the stop begins, so that every
 * phase has a deadline from the start. A process that stood still meanwhile
 * finds later phases due at once, instead of running past the end.
 */

import type { DaemonSettings } from "../generated/types.ts";

/** Share of the drain timeout after which the listeners still close before the last answers. */
const FINAL_DRAIN_RATIO = 0.5;

/** Upper bound of the time between the two, in milliseconds; nearly all requests finish within it. */
const MAX_FINAL_DRAIN_MS = 1_500;

/** Time from the stop's beginning until which requests are begun on an estimate of their duration, in milliseconds, and its largest share of the stop. */
const MAX_ESTIMATE_PERIOD_MS = 2_800;
const MAX_ESTIMATE_RATIO = 0.5;

/** Time after the last answers for flushing responses, replies and logs, in milliseconds. */
const FLUSH_MS = 300;

/** Deadlines of the phases of a stop, in monotonic milliseconds. */
export interface StopSchedule {
  readonly startedAtMs: number;
  /** End of the time in which callers learn that the daemon leaves; the listeners stay open until then. */
  readonly noticeEndsAtMs: number;
  /** Requests received later are begun only if their time limit passes before the answers end. */
  readonly estimatesEndAtMs: number;
  /** From here on the listeners close as soon as the backend server runs nothing. */
  readonly listenersCloseAtMs: number;
  /** Last moment for answers of backend servers; what is in progress then gets a response of the daemon. */
  readonly answersEndAtMs: number;
  /** Last moment for flushing. */
  readonly flushEndsAtMs: number;
}

/**
 * Creates the schedule of a stop that begins now.
 *
 * @param startedAtMs - Monotonic time of the stop, in milliseconds
 * @param settings - Length of the notice and of the drain after it
 * @returns The deadlines of its phases
 *
 * @example
 * const schedule = createStopSchedule(clock.monotonicMs(), settings);
 */
export function createStopSchedule(
  startedAtMs: number,
  { leaveNoticeMs, drainTimeoutMs }: Pick<
    DaemonSettings,
    "leaveNoticeMs" | "drainTimeoutMs"
  >,
): StopSchedule {
  const noticeEndsAtMs = startedAtMs + leaveNoticeMs;
  const answersEndAtMs = noticeEndsAtMs + drainTimeoutMs;
  const flushEndsAtMs = answersEndAtMs + FLUSH_MS;
  return {
    startedAtMs,
    noticeEndsAtMs,
    estimatesEndAtMs: startedAtMs +
      Math.min(
        MAX_ESTIMATE_PERIOD_MS,
        (flushEndsAtMs - startedAtMs) * MAX_ESTIMATE_RATIO,
      ),
    listenersCloseAtMs: answersEndAtMs -
      Math.min(MAX_FINAL_DRAIN_MS, drainTimeoutMs * FINAL_DRAIN_RATIO),
    answersEndAtMs,
    flushEndsAtMs,
  };
}
