/**
 * Sends a call to an instance of its service, and retries on other instances
 * as far as the retry policy allows.
 */

import { err, ok } from "neverthrow";
import type { MemberRecord } from "../generated/types.ts";
import { createRefusal, REASONS, UNREACHED_REASONS } from "../outcome/mod.ts";
import type { CallFailure, CallResult } from "../outcome/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import { AttemptHistory } from "./attempt_history.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { callWithDeadline } from "../peer/mod.ts";
import { createCallMessage } from "./create_call_message.ts";
import { followAnswerStatement } from "./follow_answer_statement.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { createAttemptReport } from "./create_attempt_report.ts";
import { HandBacks } from "./hand_backs.ts";
import { runCall } from "./run_call.ts";
import { sendOnce } from "./send_once.ts";
import { refuseAtStop } from "./refuse_at_stop.ts";
import { readSlownessNote } from "./slowness_note.ts";
import { readSpillNote } from "./spill_note.ts";

/** Maximum number of times that a call is redirected after the instance could not run it; redirects do not use the retry allowance. */
const MAX_REDIRECTS = 8;

/**
 * Sends a call until it is answered or the retry policy allows no further
 * attempt.
 *
 * If an earlier attempt has an unknown outcome, the result is never a refusal.
 *
 * @param environment - Components of the daemon
 * @param call - The call
 * @returns The outcome
 *
 * @example
 * const result = await dispatchCall(environment, call);
 */
export async function dispatchCall(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<CallResult> {
  const { clock, journal, quarantine, retryPolicy } = environment;
  const refusal = quarantine.check(call);
  if (refusal) {
    const unusedAllowance = call.context.retryAllowance;
    return err({ ...refusal, unusedAllowance });
  }
  const { requestId, isRepeatable } = call.context;
  const { service } = call;
  const history = new AttemptHistory();
  const excluded = new Set<string>();
  const handBacks = new HandBacks();
  let allowance = call.context.retryAllowance;
  let redirects = 0;
  let attempts = 0;
  for (;;) {
    const stopRefusal = refuseAtStop(environment, call);
    if (stopRefusal) {
      return history.buildResult(stopRefusal, allowance);
    }
    attempts += 1;
    const nestedAllowance = retryPolicy.computeNestedAllowance(allowance);
    const result = await attemptOnce(environment, call, {
      excluded,
      handBacks,
      attempts,
      nestedAllowance,
      hasRetryLeft: nestedAllowance < allowance,
    });
    allowance += getUnusedAllowance(result, nestedAllowance) -
      nestedAllowance;
    const failure = history.record(result);
    if (!failure) {
      if (earnsRetryBudget(call)) {
        retryPolicy.recordSuccess(service);
      }
      return result.isOk()
        ? ok({ ...result.value, unusedAllowance: allowance })
        : result;
    }
    if (call.progress && hasReachedServer(failure)) {
      call.progress.hasReachedServer = true;
    }
    if (isRedirectable(failure) && redirects < MAX_REDIRECTS) {
      redirects += 1;
      attempts -= 1;
      continue;
    }
    const retryContext = {
      failure,
      service,
      attempts,
      overloadedAttempts: history.overloadedCount,
      allowance,
      isRepeatable,
      remainingMs: call.deadlineAtMs - clock.monotonicMs(),
    };
    const isExhausted = call.signal.aborted || quarantine.deniesRetry(call) ||
      attempts >= (call.maxAttempts ?? Number.POSITIVE_INFINITY);
    if (isExhausted || !retryPolicy.acquireRetry(retryContext)) {
      const { reason } = failure;
      const facts = { service, reason, attempts, allowance };
      journal.record(DECISIONS.retryDenied, facts, requestId);
      return history.buildResult(failure, allowance);
    }
    allowance -= retryPolicy.spendsAllowance ? 1 : 0;
  }
}

/** Whether a success earns retry budget. The retries of routed calls, which have `maxAttempts`, are limited across the fleet in proportion to the requests of callers, so their nested calls earn none. */
function earnsRetryBudget({ context, maxAttempts }: OutboundCall): boolean {
  return maxAttempts === undefined || context.depth === 0;
}

function getUnusedAllowance(
  result: CallResult,
  nestedAllowance: number,
): number {
  const { unusedAllowance } = result.isOk() ? result.value : result.error;
  return Math.min(nestedAllowance, unusedAllowance);
}

/** Whether no backend server has seen the call, so that trying another instance counts as the first attempt. */
function isRedirectable({ kind, reason }: CallFailure): boolean {
  return kind === "refused" && UNREACHED_REASONS.has(reason);
}

/** Whether a backend server has seen the call; every other refusal is made by a daemon. */
function hasReachedServer({ kind, reason }: CallFailure): boolean {
  return kind === "unknown" || reason === REASONS.backendRefused;
}

interface AttemptOptions {
  readonly excluded: Set<string>;
  readonly handBacks: HandBacks;
  readonly attempts: number;
  /** Retries that the call may use at the hops behind this one. */
  readonly nestedAllowance: number;
  /** Whether a retry remains at this hop if the reply is lost. */
  readonly hasRetryLeft: boolean;
}

async function attemptOnce(
  environment: CallEnvironment,
  call: OutboundCall,
  {
    excluded,
    handBacks,
    attempts,
    nestedAllowance,
    hasRetryLeft,
  }: AttemptOptions,
): Promise<CallResult> {
  const {
    loadBalancer,
    clock,
    membership,
    metrics,
    entryAdmission,
    paths,
  } = environment;
  const unusedAllowance = nestedAllowance;
  const remainingMs = call.deadlineAtMs - clock.monotonicMs();
  if (remainingMs <= 0) {
    return err(createRefusal(REASONS.deadlineExpired, { unusedAllowance }));
  }
  const { classRank, service, context: { isBulk, isRepeatable } } = call;
  const instances = membership.listInstances(service);
  const isLastResort = !loadBalancer.hasUnlimitedInstance(instances, excluded);
  const pickOptions = {
    service,
    excluded,
    isBulk,
    isRepeatable,
    classRank,
    targetLatencyMs: call.targetLatencyMs,
  };
  let picked = loadBalancer.pick(instances, pickOptions);
  if (picked.isErr() && handBacks.releaseInto(excluded)) {
    picked = loadBalancer.pick(instances, pickOptions);
  }
  if (picked.isErr()) {
    const { reason, retryAfterMs } = picked.error;
    return err(createRefusal(reason, { unusedAllowance, retryAfterMs }));
  }
  const instance = picked.value;
  excluded.add(instance.incarnation);
  metrics.attempts.inc({ service: call.service, retry: String(attempts > 1) });
  const startedAtMs = clock.monotonicMs();
  loadBalancer.startAttempt(instance, { isBulk });
  const failsWhenSilent = hasRetryLeft && call.context.isRepeatable;
  const elsewhereMs = handBacks.isAllowed
    ? loadBalancer.elsewhereMs
    : undefined;
  const spilledFrom = loadBalancer.isSpill
    ? membership.self.failureDomain
    : undefined;
  const leavingServer = environment.leavingServers.find(instance);
  const context = {
    ...call.context,
    retryAllowance: nestedAllowance,
    remainingMs,
  };
  const reply = await sendToInstance(
    environment,
    { ...call, context, isLastResort, elsewhereMs, spilledFrom, leavingServer },
    { instance, failsWhenSilent },
  );
  const result = followAnswerStatement(environment, instance, reply);
  loadBalancer.finishAttempt(
    instance,
    createAttemptReport(call, result, {
      durationMs: clock.monotonicMs() - startedAtMs,
      backendClient: environment.backendClient,
      slowness: readSlownessNote(reply),
      spillNote: readSpillNote(reply),
    }),
  );
  if (result.isErr() && result.error.reason === REASONS.slowInstance) {
    handBacks.record(instance.incarnation);
  }
  if (result.isErr() && result.error.reason === REASONS.leaving) {
    membership.markLeaving(instance.incarnation);
  }
  if (result.isOk()) {
    environment.responseSizes.record(call, result.value);
  }
  const { loads } = result.isOk() ? result.value : result.error;
  entryAdmission.observe(loads);
  paths.recordLoads(call.context.requestName, loads);
  return result;
}

interface SendOptions {
  readonly instance: MemberRecord;
  readonly failsWhenSilent: boolean;
}

async function sendToInstance(
  environment: CallEnvironment,
  call: OutboundCall,
  { instance, failsWhenSilent }: SendOptions,
): Promise<CallResult> {
  const { membership, peers, clock } = environment;
  if (call.dispatchState) {
    return await sendOnce(environment, call, {
      runner: instance,
      dispatchState: call.dispatchState,
    });
  }
  if (instance.incarnation === membership.self.incarnation) {
    return await runCall(environment, call);
  }
  const { result } = await callWithDeadline(peers.get(instance), clock, {
    message: createCallMessage(call, "run"),
    body: call.body,
    deadlineAtMs: call.deadlineAtMs,
    signal: call.signal,
    memory: call.memory,
    failsWhenSilent,
  });
  return result;
}
