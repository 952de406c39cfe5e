/**
 * Serves calls from callers and from this VM's backend server: a call is
 * matched to its request kind, checked by admission control against the load
 * of the services that it will reach, and dispatched.
 */

import { randomUUID } from "node:crypto";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { combineSignals } from "../cancellation/mod.ts";
import type { CallSignal } from "../cancellation/mod.ts";
import { findRequest } from "../configuration/mod.ts";
import type {
  CompiledConfiguration,
  CompiledRequest,
} from "../configuration/mod.ts";
import { MAX_DEPTH } from "../constants/mod.ts";
import type { HeldMemory } from "../memory/mod.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallResult, Refusal } from "../outcome/mod.ts";
import { createJoinKey } from "../retry/mod.ts";
import type { ActiveCall } from "./active_calls.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { dispatchCall } from "./dispatch_call.ts";
import { dispatchNestedOnce } from "./dispatch_nested_once.ts";
import { dispatchOnce } from "./dispatch_once.ts";
import { isErrorAnswer } from "./is_error_answer.ts";
import { recordOutcome } from "./record_outcome.ts";
import { refuseAtStop } from "./refuse_at_stop.ts";
import { lendAllowance } from "./lend_allowance.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { pickCallFields } from "./pick_call_fields.ts";
import { downgradeRefusal } from "./downgrade_refusal.ts";

/** A call as received over HTTP. */
export interface EntryCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Memory that the call holds in this process. */
  readonly memory: HeldMemory;
  /** Empty if the caller gave none. */
  readonly requestId: string;
  readonly idempotencyKey: string;
  /** Attempt number stated by the caller; 0 if none. */
  readonly attempt: number;
  readonly member: string;
  readonly tenant: string;
  /** Time until the deadline, in milliseconds; undefined if the caller gave none. */
  readonly deadlineMs: number | undefined;
  /** Whether the caller marked the call as non-repeatable. */
  readonly isMarkedNonRepeatable: boolean;
  /** The running call that makes this one; undefined for external callers. */
  readonly parent: ActiveCall | undefined;
  readonly signal: CallSignal;
}

/**
 * Serves a call from outside the fleet or from this VM's backend server.
 *
 * @param environment - Components of the daemon
 * @param entry - The call
 * @returns The outcome
 *
 * @example
 * const result = await serveEntryCall(environment, entry);
 */
export async function serveEntryCall(
  environment: CallEnvironment,
  entry: EntryCall,
): Promise<CallResult> {
  if (entry.parent) {
    return await serveCall(environment, entry, "");
  }
  const key = createJoinKey(entry);
  const joined = environment.joiner.join(key, entry.signal);
  if (joined) {
    environment.metrics.joinedCalls.inc();
    return await joined;
  }
  return await serveCall(environment, entry, key);
}

async function serveCall(
  environment: CallEnvironment,
  entry: EntryCall,
  joinKey: string,
): Promise<CallResult> {
  const startedAtMs = environment.clock.monotonicMs();
  const call = prepareCall(environment, entry);
  const result: CallResult = call.isErr()
    ? err(downgradeRefusal(entry, call.error))
    : await sendCall(environment, call.value, { entry, joinKey });
  if (entry.parent) {
    if (result.isErr() || isErrorAnswer(result)) {
      // The backend server may have named a service that does not exist.
      entry.parent.failedService ??= call.isOk() ? call.value.service : "none";
    }
  } else if (call.isOk() && result.isOk()) {
    const durationMs = environment.clock.monotonicMs() - startedAtMs;
    environment.stop.measure(call.value.context.requestName, durationMs);
  }
  recordOutcome(environment, result, {
    ...createOutcomeDetails(environment, entry, call),
    startedAtMs,
    service: entry.service,
  });
  return result;
}

/** Returns the details to record for a call, also if it was refused before it was prepared. */
function createOutcomeDetails(
  environment: CallEnvironment,
  entry: EntryCall,
  call: Result<OutboundCall, Refusal>,
) {
  if (call.isOk()) {
    const { className, tenant, requestId } = call.value.context;
    return { className, tenant, requestId };
  }
  const configuration = environment.configuration.current;
  const request = configuration && findRequest(configuration, entry);
  return {
    className: entry.parent?.context.className ?? request?.className ?? "none",
    tenant: "other",
    requestId: entry.requestId,
  };
}

interface SendCallOptions {
  readonly entry: EntryCall;
  readonly joinKey: string;
}

async function sendCall(
  environment: CallEnvironment,
  call: OutboundCall,
  { entry, joinKey }: SendCallOptions,
): Promise<CallResult> {
  const { parent, signal } = entry;
  if (parent) {
    return await sendNestedCall(environment, call, parent);
  }
  if (!call.context.isRepeatable) {
    const result = await dispatchOnce(environment, call);
    const { loads } = result.isOk() ? result.value : result.error;
    environment.entryAdmission.observe(loads);
    return result;
  }
  return await environment.joiner.start(
    joinKey,
    signal,
    (joinedSignal) =>
      dispatchCall(environment, { ...call, signal: joinedSignal }),
  );
}

async function sendNestedCall(
  environment: CallEnvironment,
  call: OutboundCall,
  parent: ActiveCall,
): Promise<CallResult> {
  parent.nestedCallTimer.start();
  const result = call.context.isRepeatable
    ? await dispatchCall(environment, call)
    : await dispatchNestedOnce(environment, call, parent);
  parent.nestedCallTimer.stop();
  const { unusedAllowance } = result.isOk() ? result.value : result.error;
  parent.allowance.takeBack(call.context.retryAllowance, unusedAllowance);
  return result;
}

function prepareCall(
  environment: CallEnvironment,
  entry: EntryCall,
): Result<OutboundCall, Refusal> {
  const configuration = environment.configuration.current;
  if (!configuration) {
    return err(createRefusal(REASONS.notReady, { retryAfterMs: 1_000 }));
  }
  if (!configuration.callsByService.has(entry.service)) {
    return err(createRefusal(REASONS.unknownService));
  }
  return entry.parent
    ? prepareNestedCall(environment, entry, {
      configuration,
      parent: entry.parent,
    })
    : prepareTopLevelCall(environment, entry, configuration);
}

function prepareTopLevelCall(
  environment: CallEnvironment,
  entry: EntryCall,
  configuration: CompiledConfiguration,
): Result<OutboundCall, Refusal> {
  const request = findRequest(configuration, entry);
  if (!request) {
    return err(createRefusal(REASONS.unknownRequest));
  }
  const isRepeatable = request.isRepeatable && !entry.isMarkedNonRepeatable;
  if (!isRepeatable && entry.idempotencyKey === "") {
    return err(createRefusal(REASONS.keyRequired));
  }
  const receivedAtMs = environment.clock.monotonicMs();
  const remainingMs = Math.min(
    request.deadlineMs,
    entry.deadlineMs ?? request.deadlineMs,
  );
  const requestId = entry.requestId === "" ? randomUUID() : entry.requestId;
  const { member } = entry;
  const admitted = isRepeatable
    ? environment.entryAdmission.check({ request, member, requestId })
    : ok({ mark: undefined }); // Left to the holder of the key; only it knows what has run.
  if (admitted.isErr()) {
    return err(admitted.error);
  }
  const call: OutboundCall = {
    ...pickCallFields(entry),
    context: {
      requestId,
      requestName: request.name,
      className: request.className,
      member: entry.member,
      tenant: configuration.document.tenants.includes(entry.tenant)
        ? entry.tenant
        : "other",
      remainingMs,
      retryAllowance: request.retryAllowance,
      depth: 0,
      isRepeatable,
      isBulk: request.isBulk,
      ...admitted.value.mark && { admission: admitted.value.mark },
    },
    receivedAtMs,
    deadlineAtMs: receivedAtMs + remainingMs,
    classRank: request.classRank,
  };
  const refusal = refuseAtStop(environment, call);
  return refusal ? err(refusal) : ok(call);
}

interface NestedOptions {
  readonly configuration: CompiledConfiguration;
  readonly parent: ActiveCall;
}

function prepareNestedCall(
  environment: CallEnvironment,
  entry: EntryCall,
  { configuration, parent }: NestedOptions,
): Result<OutboundCall, Refusal> {
  const { context } = parent;
  if (context.depth + 1 >= MAX_DEPTH) {
    return err(createRefusal(REASONS.tooDeep));
  }
  const { clock, stop } = environment;
  const receivedAtMs = clock.monotonicMs();
  const parentRemainingMs = parent.deadlineAtMs - receivedAtMs;
  const remainingMs = Math.min(
    parentRemainingMs,
    entry.deadlineMs ?? parentRemainingMs,
    stop.computeNestedLimitMs(),
  );
  const isRepeatable = isNestedRepeatable(
    findRequest(configuration, entry),
    entry,
    context.isRepeatable,
  );
  return ok({
    ...pickCallFields(entry),
    context: {
      ...context,
      remainingMs,
      isRepeatable,
      depth: context.depth + 1,
      retryAllowance: lendAllowance(environment, parent, {
        configuration,
        service: entry.service,
      }),
    },
    receivedAtMs,
    deadlineAtMs: receivedAtMs + remainingMs,
    classRank: configuration.classRanks.get(context.className) ??
      configuration.classRanks.size,
    signal: combineSignals(entry.signal, parent.signal),
  });
}

function isNestedRepeatable(
  request: CompiledRequest | undefined,
  entry: EntryCall,
  isParentRepeatable: boolean,
): boolean {
  if (entry.isMarkedNonRepeatable) {
    return false;
  }
  return request ? request.isRepeatable : isParentRepeatable;
}
