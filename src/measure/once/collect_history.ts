/**
 * Merges the events that callers recorded with the runs that backend servers
 * recorded.
 */

import type { HistoryEvent } from "../../testing/fault_injection/history.ts";
import type { RunningVm } from "../fleet.ts";

/** Event with its time in Unix milliseconds. */
export interface TimedEvent {
  readonly atMs: number;
  readonly event: HistoryEvent;
}

/**
 * Orders the events of callers and the runs at backend servers by time.
 *
 * @param events - Events recorded by the callers
 * @param vms - VMs whose backend servers recorded runs
 * @returns All events in order of time
 *
 * @example
 * const violations = checkHistory(collectHistory(events, fleet.vms), rules);
 */
export function collectHistory(
  events: readonly TimedEvent[],
  vms: readonly RunningVm[],
): HistoryEvent[] {
  const runs = vms.flatMap(({ backendServer, plan }) =>
    backendServer.runs.map((run): TimedEvent => ({
      atMs: run.atMs,
      event: {
        kind: "run",
        requestId: run.requestId,
        service: run.service,
        key: run.idempotencyKey,
        body: `${run.service}@${plan.address}/${run.requestId}`,
      },
    }))
  );
  return [...events, ...runs]
    .sort((left, right) => left.atMs - right.atMs)
    .map(({ event }) => event);
}
