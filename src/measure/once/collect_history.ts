/**
 * The history of callers joined with the runs that backend servers recorded.
 */

import type { HistoryEvent } from "../../testing/guarded/history.ts";
import type { RunningVm } from "../fleet.ts";

/** A caller's event with its time. */
export interface TimedEvent {
  readonly atMs: number;
  readonly event: HistoryEvent;
}

/**
 * Puts the events of callers and the runs of backend servers in order of time.
 *
 * @param events - Events of the callers
 * @param vms - VMs whose backend servers recorded runs
 * @returns The history
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
