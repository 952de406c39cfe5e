/**
 * Runs of callers and faults by a schedule.
 */

import type { CallResult } from "../../outcome/mod.ts";
import {
  FaultInjectionFleet,
  NODE_SERVICES,
  sleep,
} from "./fault_injection_fleet.ts";
import type {
  FaultKind,
  GuardedFleetOptions,
} from "./fault_injection_fleet.ts";
import { createEntryCall } from "./fault_injection_node.ts";
import type { HistoryEvent, OutcomeEvent } from "./history.ts";

/** A request of a caller. */
export interface ScheduledRequest {
  readonly atMs: number;
  /** Node that issues the key. */
  readonly holder: number;
  /** Nodes that the attempts enter at, one after the other. */
  readonly entries: readonly number[];
  /** When the caller gives the first attempt up and asks elsewhere; 0 for never. */
  readonly abandonMs: number;
}

/** A fault of a node. */
export interface ScheduledFault {
  readonly atMs: number;
  readonly kind: FaultKind;
  readonly node: number;
  readonly forMs: number;
}

/** What happens in one run. */
export interface Schedule {
  readonly requests: readonly ScheduledRequest[];
  readonly faults: readonly ScheduledFault[];
  readonly deadlineMs?: number;
}

const DEFAULT_DEADLINE_MS = 600;
const LATE_EVENTS_MS = 150;

/** What is left of an outcome when it reaches the caller. */
type SeenOutcome = Pick<OutcomeEvent, "outcome" | "reason" | "body">;

const LOST: SeenOutcome = { outcome: "lost", reason: "", body: "" };

/**
 * Runs a schedule on a fleet of its own.
 *
 * @param schedule - Requests and faults
 * @param options - Network, seed and parts of the fleet
 * @returns The history
 *
 * @example
 * const events = await runSchedule(schedule, { network: "127.60.7", randomSeed: 7 });
 */
export async function runSchedule(
  schedule: Schedule,
  options: GuardedFleetOptions,
): Promise<HistoryEvent[]> {
  const fleet = new FaultInjectionFleet(options);
  await fleet.start();
  const faults = schedule.faults.map(
    async ({ atMs, kind, node, forMs }) => {
      await sleep(atMs);
      await fleet.inject(kind, node % NODE_SERVICES.length, forMs);
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
  const given = isAbandoned
    ? await Promise.race([served, abandon(request.abandonMs, controller)])
    : await served;
  const seen = given === "lost" || !given ? LOST : describe(given);
  history.add({ kind: "outcome", requestId, key, attempt, ...seen });
  return seen.outcome === "answered";
}

async function abandon(
  afterMs: number,
  controller: AbortController,
): Promise<"lost"> {
  await sleep(afterMs);
  controller.abort();
  return "lost";
}

function describe(result: CallResult): SeenOutcome {
  return result.isOk()
    ? {
      outcome: "answered",
      reason: "",
      body: new TextDecoder().decode(result.value.body),
    }
    : { outcome: result.error.kind, reason: result.error.reason, body: "" };
}
