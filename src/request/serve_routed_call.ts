/**
 * Serves calls that are addressed by host name: a call is matched to its route,
 * a service of the route is picked, and the call is dispatched.
 *
 * The id of such a call is unique for each attempt of its caller, so that a
 * non-repeatable call needs no idempotency key: the daemon next to the backend
 * server remembers the runs of each dispatch.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { AllowancePermit } from "../allowance/mod.ts";
import type { CallSignal } from "../cancellation/mod.ts";
import { findRoute } from "../configuration/mod.ts";
import type {
  CompiledConfiguration,
  CompiledRequest,
} from "../configuration/mod.ts";

import type { AccountConfiguration, CallContext } from "../generated/types.ts";
import type { HeldMemory } from "../memory/mod.ts";
import {
  createRefusal,
  REASONS,
  selectAbortReason,
  UNREACHED_REASONS,
} from "../outcome/mod.ts";
import type { CallFailure, CallResult, Refusal } from "../outcome/mod.ts";
import type { ActiveCall } from "./active_calls.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { dispatchCall } from "./dispatch_call.ts";
import { NOT_READY_RETRY_AFTER_MS } from "./identify_caller.ts";
import { isErrorAnswer } from "./is_error_answer.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { recordOutcome } from "./record_outcome.ts";
import { refuseAtStop } from "./refuse_at_stop.ts";
import { reserveResponse } from "./reserve_response.ts";

/** Retries that one request may use across its whole call tree. */
const TREE_RETRY_ALLOWANCE = 8;

/** Number of shares into which a call divides its retry allowance for its nested calls, which may run in parallel. */
const ALLOWANCE_SHARES = 4;

/** Name in `tenant` of calls without an account. */
const NO_ACCOUNT = "other";

/** A call as received over HTTP. */
export interface RoutedCall {
  /** Host name without port, in lower case. */
  readonly host: string;
  readonly method: string;
  /** Path including the query string. */
  readonly path: string;
  /** End-to-end header fields as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Memory that the call holds in this process. */
  readonly memory: HeldMemory;
  /** Unique for each attempt of the caller. */
  readonly requestId: string;
  /** Id of the running call that makes this one; empty for external callers. */
  readonly parentId: string;
  /** Account of the caller; undefined without accounts and for nested calls, which have that of their parent. */
  readonly account?: AccountConfiguration | undefined;
  /** Service of the VM on which the call originated. */
  readonly callerService: string;
  /** Time until the deadline, in milliseconds; undefined if the caller gave none. */
  readonly deadlineMs: number | undefined;
  /** Time for which the call was held up before it was begun, in milliseconds. It counts towards the time limit of the route. */
  readonly heldMs: number;
  readonly signal: CallSignal;
  /** Called just before the call is dispatched, with the kind under which its duration is measured; undefined for nested calls. */
  readonly onDispatch?: (kind: string | undefined) => void;
}

/**
 * Serves a call that is addressed by host name.
 *
 * @param environment - Components of the daemon
 * @param routed - The call
 * @returns The outcome
 *
 * @example
 * const result = await serveRoutedCall(environment, routed);
 */
export async function serveRoutedCall(
  environment: CallEnvironment,
  routed: RoutedCall,
): Promise<CallResult> {
  const startedAtMs = environment.clock.monotonicMs();
  const parent = environment.activeCalls.find(routed.parentId);
  const account = parent ? undefined : routed.account;
  const target = findTarget(environment, routed);
  const permit = target.isOk() && account
    ? await acquireAllowance(environment, routed, {
      account,
      route: target.value.route,
    })
    : undefined;
  const call = target.andThen((found) =>
    permit?.isErr() ? err(permit.error) : prepareCall(environment, routed, {
      ...found,
      ...{ parent, account, startedAtMs },
    })
  );
  const result: CallResult = call.isErr()
    ? err(call.error)
    : await dispatch(environment, call.value, { parent, routed });
  if (permit?.isOk() && hasReachedNoServer(call, result)) {
    permit.value.giveBack();
  }
  recordOutcome(environment, result, {
    className: call.isOk() ? call.value.context.className : "none",
    tenant: call.isOk()
      ? call.value.context.tenant
      : account?.name ?? NO_ACCOUNT,
    requestId: routed.requestId,
    startedAtMs,
    service: call.isOk() ? call.value.service : "",
  });
  return result;
}

interface RoutedTarget {
  readonly configuration: CompiledConfiguration;
  readonly route: CompiledRequest;
}

function findTarget(
  environment: CallEnvironment,
  routed: RoutedCall,
): Result<RoutedTarget, Refusal> {
  const configuration = environment.configuration.current;
  if (!configuration) {
    const retryAfterMs = NOT_READY_RETRY_AFTER_MS;
    return err(createRefusal(REASONS.notReady, { retryAfterMs }));
  }
  const route = findRoute(configuration, routed);
  return route
    ? ok({ configuration, route })
    : err(createRefusal(REASONS.unknownRequest));
}

interface AllowanceTarget {
  readonly account: AccountConfiguration;
  readonly route: CompiledRequest;
}

function acquireAllowance(
  { allowances, clock }: CallEnvironment,
  { deadlineMs, heldMs, requestId, signal }: RoutedCall,
  { account, route }: AllowanceTarget,
): Promise<Result<AllowancePermit, Refusal>> {
  const routeLimitMs = route.deadlineMs - heldMs;
  const limitMs = Math.min(routeLimitMs, deadlineMs ?? routeLimitMs);
  const deadlineAtMs = clock.monotonicMs() + limitMs;
  return allowances.acquire(account, { requestId, deadlineAtMs, signal });
}

/** Whether a request was refused before any backend server has seen it. */
function hasReachedNoServer(
  call: Result<OutboundCall, Refusal>,
  result: CallResult,
): boolean {
  const isRefused = result.isErr() && result.error.kind === "refused";
  return isRefused &&
    !(call.isOk() && call.value.progress?.hasReachedServer);
}

interface DispatchOptions {
  readonly parent: ActiveCall | undefined;
  readonly routed: RoutedCall;
}

async function dispatch(
  environment: CallEnvironment,
  call: OutboundCall,
  { parent, routed }: DispatchOptions,
): Promise<CallResult> {
  if (!parent) {
    const result = await reserveAndDispatch(
      environment,
      call,
      () => routed.onDispatch?.(call.context.requestName),
    );
    reportOutcome(environment, call, result);
    return result;
  }
  parent.nestedCallTimer.start();
  const result = await reserveAndDispatch(
    environment,
    call,
    () => routed.onDispatch?.(undefined),
  );
  parent.nestedCallTimer.stop();
  const { unusedAllowance } = result.isOk() ? result.value : result.error;
  parent.allowance.takeBack(call.context.retryAllowance, unusedAllowance);
  if (result.isErr() || isErrorAnswer(result)) {
    parent.failedService ??= call.service;
  }
  return result;
}

function reserveAndDispatch(
  environment: CallEnvironment,
  call: OutboundCall,
  onDispatch: () => void,
): Promise<CallResult> {
  const dispatchReserved = () => {
    onDispatch();
    return dispatchCall(environment, call);
  };
  const reserved = reserveResponse(environment, call, { awaitsSize: true });
  return reserved
    ? reserved.then((refusal) => refusal ? err(refusal) : dispatchReserved())
    : dispatchReserved();
}

/** Reports to admission control whether the caller was served; a cancelled call says nothing about capacity and counts as served. */
function reportOutcome(
  { configuration, entryAdmission }: CallEnvironment,
  { context, signal }: OutboundCall,
  result: CallResult,
): void {
  const route = configuration.current?.requestsByName.get(context.requestName);
  if (!route) {
    return;
  }
  const { className } = context;
  const request = route.className === className
    ? route
    : { ...route, className };
  if (result.isErr() && isUnreached(result.error)) {
    entryAdmission.recordUnreached(request, context.member);
    return;
  }
  const isServed = result.isOk() && !isErrorAnswer(result);
  entryAdmission.recordOutcome(request, {
    member: context.member,
    isServed: isServed || signal.aborted,
  });
}

function isUnreached({ reason }: CallFailure): boolean {
  return reason === REASONS.noInstance ||
    reason === REASONS.limitedService || reason === REASONS.quarantined ||
    reason === REASONS.daemonStopping ||
    UNREACHED_REASONS.has(reason);
}

function prepareCall(
  environment: CallEnvironment,
  routed: RoutedCall,
  options: CallOptions,
): Result<OutboundCall, Refusal> {
  const { parent, route } = options;
  if (routed.signal.aborted) {
    return err(createRefusal(selectAbortReason(routed.signal)));
  }
  const context = parent
    ? ok(createNestedContext(routed, route, parent))
    : admit(environment, routed, options);
  const call = context.map((callContext) =>
    createCall(environment, callContext, { ...options, routed })
  );
  return call.andThen((prepared) => {
    const refusal = refuseAtStop(environment, prepared);
    return refusal ? err(refusal) : ok(prepared);
  });
}

function admit(
  environment: CallEnvironment,
  { requestId }: RoutedCall,
  { account, configuration, route }: CallOptions,
): Result<CallContext, Refusal> {
  const path = environment.paths.list(route.name, route);
  const className = account?.className ?? route.className;
  const classRank = configuration.classRanks.get(className) ?? route.classRank;
  const request = { ...route, className, classRank, path };
  const member = account?.name ?? "";
  return environment.entryAdmission.check({ request, member, requestId })
    .map(({ mark }) => ({
      requestId,
      requestName: route.name,
      className,
      member,
      tenant: account?.name ?? NO_ACCOUNT,
      remainingMs: 0,
      retryAllowance: TREE_RETRY_ALLOWANCE,
      depth: 0,
      isRepeatable: route.isRepeatable,
      isBulk: route.isBulk,
      ...mark && { admission: mark },
    }));
}

function createNestedContext(
  { requestId }: RoutedCall,
  route: CompiledRequest,
  parent: ActiveCall,
): CallContext {
  return {
    ...parent.context,
    requestId,
    remainingMs: 0,
    retryAllowance: parent.allowance.lend(ALLOWANCE_SHARES),
    depth: parent.context.depth + 1,
    isRepeatable: route.isRepeatable,
    isBulk: route.isBulk,
  };
}

interface CallOptions extends RoutedTarget {
  readonly parent: ActiveCall | undefined;
  readonly account: AccountConfiguration | undefined;
  /** When the call was received, in monotonic milliseconds. */
  readonly startedAtMs: number;
}

function createCall(
  environment: CallEnvironment,
  context: CallContext,
  { routed, route, configuration, parent, account, startedAtMs }:
    & CallOptions
    & { readonly routed: RoutedCall },
): OutboundCall {
  const { clock, paths, stop, trafficSplitter } = environment;
  const nowMs = clock.monotonicMs();
  const waitedMs = nowMs - startedAtMs;
  const remainingMs = Math.min(
    route.deadlineMs - routed.heldMs - waitedMs,
    (routed.deadlineMs ?? route.deadlineMs) - waitedMs,
    parent
      ? Math.min(parent.deadlineAtMs - nowMs, stop.computeNestedLimitMs())
      : Number.POSITIVE_INFINITY,
  );
  const service = (route.weightedServices &&
    trafficSplitter.pick(route.name, route.weightedServices)) ??
    route.service;
  if (parent) {
    paths.record(context.requestName, service);
  }
  return {
    context: { ...context, remainingMs },
    receivedAtMs: startedAtMs,
    deadlineAtMs: nowMs + remainingMs,
    classRank: configuration.classRanks.get(context.className) ??
      configuration.classRanks.size,
    service,
    method: routed.method,
    path: routed.path,
    contentType: "",
    headers: routed.headers,
    callerService: routed.callerService,
    maxAttempts: route.retryAllowance + 1,
    targetLatencyMs: route.targetLatencyMs,
    body: routed.body,
    memory: routed.memory,
    idempotencyKey: routed.requestId,
    attempt: 0,
    dispatchState: route.isRepeatable
      ? undefined
      : { unresolvedRun: undefined },
    ...account && { progress: { hasReachedServer: false } },
    signal: routed.signal,
  };
}
