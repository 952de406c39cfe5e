/**
 * Runs a call on the backend server of this VM.
 *
 * Every failure before the backend server is called is a refusal; after that,
 * only the backend client determines the outcome.
 */

import { err, ok } from "neverthrow";
import { CallController } from "../cancellation/mod.ts";
import { formatServerId } from "../backend/mod.ts";
import type { ConnectionBreak, ServerStatement } from "../backend/mod.ts";
import { createRunKind } from "../leaving/mod.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallResult, Reason } from "../outcome/mod.ts";
import type { StatedSlowness } from "../slowness/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { collectLoads } from "./collect_loads.ts";
import { findRefusalReason } from "./find_refusal_reason.ts";
import { isErrorAnswer } from "./is_error_answer.ts";
import { observeStatement } from "./observe_statement.ts";
import { PEER_NOTES } from "./peer_notes.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { reserveResponse } from "./reserve_response.ts";
import { createSlownessNote } from "./slowness_note.ts";
import { createSpillNote } from "./spill_note.ts";

/** HTTP statuses with which a backend server sheds load. */
const SHED_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Reason given when the backend server itself refuses a call. */
const SHED_REASON = REASONS.backendRefused;

/**
 * Admits a call to the backend server, runs it and adds load signals to the
 * outcome.
 *
 * @param environment - Components of the daemon
 * @param call - The call
 * @returns The outcome with the load signals of this daemon and of overloaded
 *   downstream services
 *
 * @example
 * const result = await runCall(environment, call);
 */
export async function runCall(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<CallResult> {
  const { inboundAdmission, spillReceipts } = environment;
  if (call.spilledFrom !== undefined) {
    spillReceipts.record(call.spilledFrom);
  }
  const result = await admitAndRun(environment, call);
  const loads = collectLoads(environment, call);
  const { slowness } = inboundAdmission;
  const notes = isSpillControlled(environment, slowness)
    ? [
      ...createSlownessNote(slowness),
      ...createSpillNote({
        averageLoad: inboundAdmission.averageLoad,
        spillReceipts: spillReceipts.list(),
      }),
    ]
    : [];
  if (result.isErr()) {
    return err({ ...result.error, loads });
  }
  const { headers } = result.value;
  return ok({
    ...result.value,
    loads,
    ...notes.length > 0 && { headers: [...headers ?? [], ...notes] },
  });
}

/** Whether daemons may send calls to other failure domains by shares, for which answers state the load: the configuration has accounts, or this backend server states its slowness. */
function isSpillControlled(
  { configuration }: CallEnvironment,
  slowness: StatedSlowness | undefined,
): boolean {
  return slowness !== undefined ||
    configuration.current?.document.accounts !== undefined;
}

async function admitAndRun(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<CallResult> {
  const { backend, clock, inboundAdmission, metrics } = environment;
  const quarantined = refuseQuarantined(environment, call);
  if (quarantined) {
    return quarantined;
  }
  const refusalReason = findRefusalReason(environment, call);
  if (refusalReason) {
    return err(
      createRefusal(refusalReason, {
        unusedAllowance: call.context.retryAllowance,
      }),
    );
  }
  const reserving = reserveResponse(environment, call);
  const unreserved = reserving && await reserving;
  if (unreserved) {
    return err(unreserved);
  }
  const queuedAtMs = clock.monotonicMs();
  const permit = await inboundAdmission.acquire(call);
  metrics.queueDuration.observe(
    { class: call.context.className },
    (clock.monotonicMs() - queuedAtMs) / 1_000,
  );
  if (permit.isErr()) {
    if (permit.error.reason === REASONS.limitedInstance) {
      metrics.limitedCalls.inc({ class: call.context.className });
    }
    return err({
      ...permit.error,
      unusedAllowance: call.context.retryAllowance,
    });
  }
  const startedAtMs = clock.monotonicMs();
  const announcement = backend.announcement;
  const reasonAfterQueue = findRefusalReason(environment, call, {
    wasAccepted: true,
  });
  const refusedResult = refuseQuarantined(environment, call) ??
    (announcement && !reasonAfterQueue
      ? undefined
      : createRefusedResult(call, reasonAfterQueue));
  const { result, nestedMs } = refusedResult
    ? { result: refusedResult, nestedMs: 0 }
    : await reserveAndCallBackend(environment, call);
  const durationMs = clock.monotonicMs() - startedAtMs;
  if (result.isOk()) {
    environment.stop.measure(createRunKind(call), durationMs);
  }
  permit.value.release({
    durationMs,
    ownDurationMs: durationMs - nestedMs,
    isAnswered: result.isOk(),
    isShed: nestedMs === 0 && isShed(result),
  });
  return result;
}

function refuseQuarantined(
  { quarantine }: CallEnvironment,
  call: OutboundCall,
): CallResult | undefined {
  const refusal = quarantine.check(call);
  const unusedAllowance = call.context.retryAllowance;
  return refusal && err({ ...refusal, unusedAllowance });
}

function createRefusedResult(
  call: OutboundCall,
  reason: Reason = REASONS.noBackendServer,
): CallResult {
  const unusedAllowance = call.context.retryAllowance;
  return err(createRefusal(reason, { unusedAllowance }));
}

function isShed(result: CallResult): boolean {
  return result.isOk()
    ? SHED_STATUSES.has(result.value.status)
    : result.error.reason === SHED_REASON;
}

/** Asks for memory once more, since responses of this kind may have become larger while the call waited for its slot. Does not wait, as the slot would stay unused. */
async function reserveAndCallBackend(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<BackendRun> {
  const reserving = reserveResponse(environment, call, { maxWaitMs: 0 });
  const refusal = reserving && await reserving;
  return refusal
    ? { result: err(refusal), nestedMs: 0 }
    : await callBackend(environment, call);
}

interface BackendRun {
  readonly result: CallResult;
  /** Time during which the backend server waited for nested calls, in milliseconds. */
  readonly nestedMs: number;
}

async function callBackend(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<BackendRun> {
  const { activeCalls, backend, backendClient, clock, crashes, journal } =
    environment;
  const { memory, quarantine } = environment;
  const announcement = backend.announcement;
  if (!announcement) {
    return { result: err(createRefusal(REASONS.noBackendServer)), nestedMs: 0 };
  }
  const remainingMs = Math.max(1, call.deadlineAtMs - clock.monotonicMs());
  const context = { ...call.context, remainingMs };
  const controller = new CallController();
  const stopFollowing = controller.follow(call.signal);
  call.onRun?.();
  const cancelDeadline = clock.schedule(
    remainingMs,
    () => controller.abort(REASONS.deadlineExpired),
  );
  const activeCall = activeCalls.begin(
    context,
    controller.signal,
    backendClient.selectCallToken(context),
  );
  const run = crashes.begin(announcement, call);
  let connectionBreak: ConnectionBreak | undefined;
  const request = {
    method: call.method,
    path: call.path,
    contentType: call.contentType,
    headers: call.headers,
    callerService: call.callerService,
    body: call.body,
    context,
    idempotencyKey: call.idempotencyKey,
    callToken: activeCall.token,
  };
  const options = {
    signal: controller.signal,
    memory: call.memory,
    maxBodyBytes: Math.min(
      environment.settings.maxBodyBytes,
      memory.maxBodyBytes,
    ),
    observeStatement: (statement: ServerStatement) =>
      observeStatement(environment, statement, {
        announcement,
        requestId: context.requestId,
      }),
    observeBreak: (observed: ConnectionBreak) => connectionBreak = observed,
  };
  let result: CallResult;
  try {
    result = await backendClient.call(announcement, request, options);
  } finally {
    const judged = crashes.finish(run, connectionBreak);
    if (connectionBreak) {
      await judged;
    }
  }
  activeCalls.end(activeCall);
  cancelDeadline();
  stopFollowing();
  if (result.isOk()) {
    environment.responseSizes.record(call, result.value);
    quarantine.recordCleanRun(call);
  }
  if (result.isErr() && result.error.reason === REASONS.noBackendServer) {
    backend.markUnreachable();
  }
  if (result.isErr()) {
    const { kind, reason } = result.error;
    const spentMs = Math.round(
      remainingMs - (call.deadlineAtMs - clock.monotonicMs()),
    );
    journal.record(
      DECISIONS.runFailed,
      { service: call.service, outcome: kind, reason, spentMs },
      context.requestId,
    );
    controller.abort(reason);
  }
  const nestedMs = activeCall.nestedCallTimer.totalMs;
  const { failedService } = activeCall;
  if (
    failedService !== undefined && (result.isErr() || isErrorAnswer(result))
  ) {
    environment.metrics.unfinishedRuns.inc({
      class: context.className,
      service: call.service,
      failed_service: failedService,
    });
  }
  const unusedAllowance = activeCall.allowance.close();
  // A daemon that does not know of the crash yet would retry on another VM.
  const isGivenUp = activeCall.failedService !== undefined ||
    (connectionBreak === "broken" && quarantine.deniesRetry(call));
  if (result.isErr()) {
    const failure = { ...result.error, unusedAllowance, isGivenUp };
    return { result: err(failure), nestedMs };
  }
  const answer = { ...result.value, unusedAllowance, isGivenUp };
  const { headers } = answer;
  if (!headers || !backendClient.readStatement(headers).isLeaving) {
    return { result: ok(answer), nestedMs };
  }
  const serverId = formatServerId(announcement);
  return {
    result: ok({
      ...answer,
      headers: [...headers, PEER_NOTES.leavingServer, serverId],
    }),
    nestedMs,
  };
}
