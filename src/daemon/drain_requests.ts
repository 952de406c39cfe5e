/**
 * Draining of a stopping daemon: from the moment that it accepts no more calls
 * for its backend server until the last response has been flushed.
 */

import type { StopSchedule } from "../leaving/mod.ts";
import { handOverKeys } from "../request/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { Listener } from "./listener.ts";
import type { RequestTracker } from "./request_tracker.ts";

/** Time without requests after which a stopping daemon closes its connections, in milliseconds. */
const IDLE_PERIOD_MS = 250;

/** Maximum wait for that time without requests, in milliseconds. */
const MAX_IDLE_WAIT_MS = 2_000;

/** Turns of the event loop in which answers that have arrived are read before the others are given up. */
const READ_TURNS = 10;

/** What is drained. */
export interface DrainedDaemon {
  readonly environment: CallEnvironment;
  readonly requests: RequestTracker;
  readonly listeners: readonly Listener[];
  /** Whether callers hold idempotency keys, which have to be handed over. */
  readonly issuesKeys: boolean;
}

/**
 * Ends the requests of a daemon within the schedule of its stop.
 *
 * @param daemon - The daemon's components; members already know that it leaves
 * @param schedule - Deadlines of the stop
 *
 * @example
 * await drainRequests(daemon, createStopSchedule(clock.monotonicMs(), settings));
 */
export async function drainRequests(
  { environment, requests, listeners, issuesKeys }: DrainedDaemon,
  schedule: StopSchedule,
): Promise<void> {
  const { activeCalls, backend, clock, inboundAdmission, journal, stop } =
    environment;
  stop.begin(schedule);
  environment.metrics.process.observeStop(stop.counts);
  backend.drain();
  if (hasOtherInstances(environment)) {
    inboundAdmission.handBackWaiting();
  }
  const sendLateOutcomes = issuesKeys
    ? await handOverKeys(environment)
    : () => Promise.resolve();
  await clock.sleep(Math.max(0, schedule.noticeEndsAtMs - clock.monotonicMs()));
  await requests.waitUntilIdle(0, schedule.listenersCloseAtMs);
  await sendLateOutcomes();
  // A running call may make nested calls over new connections.
  await requests.waitUntil(
    () => activeCalls.count === 0,
    schedule.answersEndAtMs,
  );
  listeners.forEach((listener) => listener.close());
  await requests.waitUntilIdle(
    IDLE_PERIOD_MS,
    Math.min(schedule.answersEndAtMs, clock.monotonicMs() + MAX_IDLE_WAIT_MS),
  );
  await requests.waitUntilIdle(0, schedule.answersEndAtMs);
  await readArrivedInput();
  const requestsInProgress = requests.count;
  stop.cutOff();
  journal.record(DECISIONS.answersEnded, {
    requestsInProgress,
    ...stop.counts,
    stopMs: Math.round(clock.monotonicMs() - schedule.startedAtMs),
  });
  await requests.waitUntilIdle(0, schedule.flushEndsAtMs);
}

/** Lets the event loop read what has arrived: timers run first after a pause of the process, also those that end requests whose answers are there. */
async function readArrivedInput(): Promise<void> {
  for (let turn = 0; turn < READ_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Whether calls for the backend server of this VM can be sent to another one. */
function hasOtherInstances({ backend, membership }: CallEnvironment): boolean {
  const { announcement } = backend;
  return announcement !== undefined &&
    membership.listInstances(announcement.service)
      .some(({ incarnation }) => incarnation !== membership.self.incarnation);
}
