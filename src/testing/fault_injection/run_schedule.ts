/**
 * Runs a schedule of requests and faults against a fleet.
 */

import type { CallResult } from "../../outcome/mod.ts";
import {
  FaultInjectionFleet,
  NODE_SERVICES,
  sleep,
} from "./fault_injection_fleet.ts";
import type {
  FaultInjectionFleetOptions,
  FaultKind,
} from "./fault_injection_fleet.ts";
import { createEntryCall } from "./fault_injection_node.ts";
import type { HistoryEvent, OutcomeEvent } from "./history.ts";

/** A request with its attempts. */
export interface ScheduledRequest {
  readonly atMs: number;
  /** Index of the node that issues the key. */
  readonly holder: number;
  /** Entry nodes of the successive attempts, by index. */
  readonly entries: readonly number[];
  /** Time after which the caller abandons the first attempt and makes the next, in milliseconds; 0 for never. */
  readonly abandonMs: number;
}

/** A fault and the node it affects. */
export interface ScheduledFault {
  readonly atMs: number;
  readonly kind: FaultKind;
  readonly node: number;
  readonly durationMs: number;
}

/** Requests and faults of one run. */
export interface Schedule {
  readonly requests: readonly ScheduledRequest[];
  readonly faults: readonly ScheduledFault[];
  readonly deadlineMs?: number;
}

const DEFAULT_DEADLINE_MS = 600;
const LATE_EVENTS_MS = 150;

/** The part of an outcome that the caller observes. */
type ObservedOutcome = Pick<OutcomeEvent, "outcome" | "reason" | "body">;

const LOST: ObservedOutcome = { outcome: "lost", reason: "", body: "" };

/**
 * Runs a schedule on a new fleet.
 *
 * @param schedule - Requests and faults
 * @param options - Network, seed and components of the fleet
 * @returns The events, in the order in which they happened
 *
 * @example
 * const events = await runSchedule(schedule, { network: "127.60.7", randomSeed: 7 });
 */
export async function runSchedule(
  schedule: Schedule,
  options: FaultInjectionFleetOptions,
): Promise<HistoryEvent[]> {
  const fleet = new FaultInjectionFleet(options);
  await fleet.start();
  const faults = schedule.faults.map(
    async ({ atMs, kind, node, durationMs }) => {
      await sleep(atMs);
      await fleet.inject(kind, node % NODE_SERVICES.length, durationMs);
    },
  );
  await Promise.all(
    schedule.requests.map((request, index) =>
      runRequest(fleet, request, {
        requestId: `request-${index}`,
        deadlineMs: schedule.deadlineMs ?? DEFAULT_DEADLINE_MS,
      })
    ),
  );
  await Promise.all(faults);
  await sleep(LATE_EVENTS_MS);
  fleet.close();
  return fleet.history.events;
}

async function runRequest(
  fleet: FaultInjectionFleet,
  request: ScheduledRequest,
  { requestId, deadlineMs }: { requestId: string; deadlineMs: number },
): Promise<void> {
  await sleep(request.atMs);
  const holder = fleet.nodes[request.holder % fleet.nodes.length];
  const key = holder?.environment.keys.issueKey() ?? "";
  for (const [index, entry] of request.entries.entries()) {
    const isAnswered = await runAttempt(fleet, {
      ...{ request, requestId, key, entry, deadlineMs },
      attempt: index + 1,
    });
    if (isAnswered) {
      return;
    }
  }
}

interface Attempt {
  readonly request: ScheduledRequest;
  readonly requestId: string;
  readonly key: string;
  readonly entry: number;
  readonly attempt: number;
  readonly deadlineMs: number;
}

async function runAttempt(
  fleet: FaultInjectionFleet,
  { request, requestId, key, entry, attempt, deadlineMs }: Attempt,
): Promise<boolean> {
  const node = fleet.nodes[entry % fleet.nodes.length];
  const { history } = fleet;
  history.add({ kind: "invoke", requestId, key, attempt });
  const controller = new AbortController();
  const served = node?.serve({
    ...createEntryCall(`/deliveries/${requestId}`),
    ...{ requestId, attempt, deadlineMs },
    idempotencyKey: key,
    signal: controller.signal,
  });
  const isAbandoned = request.abandonMs > 0 && attempt === 1;
  const result = isAbandoned
    ? await Promise.race([served, abandon(request.abandonMs, controller)])
    : await served;
  const observed = result === "lost" || !result
    ? LOST
    : toObservedOutcome(result);
  history.add({ kind: "outcome", requestId, key, attempt, ...observed });
  return observed.outcome === "answered";
}

async function abandon(
  afterMs: number,
  controller: AbortController,
): Promise<"lost"> {
  await sleep(afterMs);
  controller.abort();
  return "lost";
}

function toObservedOutcome(result: CallResult): ObservedOutcome {
  return result.isOk()
    ? {
      outcome: "answered",
      reason: "",
      body: new TextDecoder().decode(result.value.body),
    }
    : { outcome: result.error.kind, reason: result.error.reason, body: "" };
}
