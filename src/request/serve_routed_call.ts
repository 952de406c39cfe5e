/**
 * The way of a call that names a host: it is matched to its route, the route's
 * service is chosen, and the call is dispatched.
 *
 * The id of such a call is unique for each try of its caller, so that a call
 * that must not run twice needs no key: the daemon beside the backend server
 * remembers the runs of each dispatch.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CallSignal } from "../cancellation/mod.ts";
import { findRoute } from "../configuration/mod.ts";
import type {
  CompiledConfiguration,
  CompiledRequest,
} from "../configuration/mod.ts";
import type { CallContext } from "../generated/types.ts";
import { createRefusal, REASONS, UNREACHED_REASONS } from "../outcome/mod.ts";
import type { CallFailure, CallResult, Refusal } from "../outcome/mod.ts";
import type { ActiveCall } from "./active_calls.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { dispatchCall } from "./dispatch_call.ts";
import { isErrorAnswer } from "./is_error_answer.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { recordOutcome } from "./record_outcome.ts";

/** Extra attempts of one caller's request over the whole tree of its calls. */
const TREE_RETRY_ALLOWANCE = 8;

/** Shares into which a call divides its allowance among the calls it makes, which may run side by side. */
const ALLOWANCE_SHARES = 4;

/** Wait suggested while no configuration is known, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 500;

/** A call as it came over HTTP. */
export interface RoutedCall {
  /** Host without a port, in lower case. */
  readonly host: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** End-to-end header fields, names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Unique for each try of the caller. */
  readonly requestId: string;
  /** Id of the running call that makes this one; empty for callers outside. */
  readonly parentId: string;
  /** Service of the VM on which the call began. */
  readonly callerService: string;
  /** Undefined when the caller gave none. */
  readonly deadlineMs: number | undefined;
  readonly signal: CallSignal;
}

/**
 * Serves a call that names a host.
 *
 * @param environment - The daemon's parts
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
  const call = prepareCall(environment, routed, parent);
  const result: CallResult = call.isErr()
    ? err(call.error)
    : await dispatch(environment, call.value, parent);
  recordOutcome(environment, result, {
    className: call.isOk() ? call.value.context.className : "none",
    tenant: "other",
    requestId: routed.requestId,
    startedAtMs,
    service: call.isOk() ? call.value.service : "",
  });
  return result;
}

async function dispatch(
  environment: CallEnvironment,
  call: OutboundCall,
  parent: ActiveCall | undefined,
): Promise<CallResult> {
  if (!parent) {
    const result = await dispatchCall(environment, call);
    noteOutcome(environment, call, result);
    return result;
  }
  parent.nestedTime.begin();
  const result = await dispatchCall(environment, call);
  parent.nestedTime.end();
  const { unusedAllowance } = result.isOk() ? result.value : result.error;
  parent.allowance.takeBack(call.context.retryAllowance, unusedAllowance);
  parent.hasFailedBelow ||= result.isErr() || isErrorAnswer(result);
  return result;
}

/** Tells the entry whether its caller was served; one that has left tells nothing. */
function noteOutcome(
  { configuration, entryAdmission }: CallEnvironment,
  { context, signal }: OutboundCall,
  result: CallResult,
): void {
  const request = configuration.current?.requestsByName.get(
    context.requestName,
  );
  if (!request) {
    return;
  }
  if (result.isErr() && hasMetNobody(result.error)) {
    entryAdmission.recordUnreached(request);
    return;
  }
  const isServed = result.isOk() && !isErrorAnswer(result);
  entryAdmission.recordOutcome(request, isServed || signal.aborted);
}

function hasMetNobody({ reason }: CallFailure): boolean {
  return reason === REASONS.noInstance || UNREACHED_REASONS.has(reason);
}

function prepareCall(
  environment: CallEnvironment,
  routed: RoutedCall,
  parent: ActiveCall | undefined,
): Result<OutboundCall, Refusal> {
  const configuration = environment.configuration.current;
  if (!configuration) {
    const retryAfterMs = NOT_READY_RETRY_AFTER_MS;
    return err(createRefusal(REASONS.notReady, { retryAfterMs }));
  }
  const route = findRoute(configuration, routed);
  if (!route) {
    return err(createRefusal(REASONS.unknownRequest));
  }
  const context = parent
    ? ok(createNestedContext(routed, route, parent))
    : admit(environment, route, routed.requestId);
  return context.map((each) =>
    createCall(environment, each, { routed, route, configuration, parent })
  );
}

function admit(
  environment: CallEnvironment,
  route: CompiledRequest,
  requestId: string,
): Result<CallContext, Refusal> {
  const path = environment.paths.list(route.name, route);
  const request = { ...route, path };
  return environment.entryAdmission.check({ request, member: "", requestId })
    .map(({ mark }) => ({
      requestId,
      requestName: route.name,
      className: route.className,
      member: "",
      tenant: "other",
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

interface CallOptions {
  readonly routed: RoutedCall;
  readonly route: CompiledRequest;
  readonly configuration: CompiledConfiguration;
  readonly parent: ActiveCall | undefined;
}

function createCall(
  environment: CallEnvironment,
  context: CallContext,
  { routed, route, configuration, parent }: CallOptions,
): OutboundCall {
  const { clock, paths, split } = environment;
  const nowMs = clock.monotonicMs();
  const remainingMs = Math.min(
    route.deadlineMs,
    routed.deadlineMs ?? route.deadlineMs,
    parent ? parent.deadlineAtMs - nowMs : Number.POSITIVE_INFINITY,
  );
  const service = (route.weightedServices &&
    split.choose(route.name, route.weightedServices)) ?? route.service;
  if (parent) {
    paths.record(context.requestName, service);
  }
  return {
    context: { ...context, remainingMs },
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
    idempotencyKey: routed.requestId,
    attempt: 0,
    guard: route.isRepeatable ? undefined : { unresolvedRun: undefined },
    signal: routed.signal,
  };
}
