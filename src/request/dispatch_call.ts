/**
 * Sends a call to an instance of its service, and to another one where the
 * retry policy allows it.
 */

import { err } from "neverthrow";
import type { MemberRecord } from "../generated/types.ts";
import { createRefusal, REASONS, UNREACHED_REASONS } from "../outcome/mod.ts";
import type { CallFailure, CallResult } from "../outcome/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import { AttemptHistory } from "./attempt_history.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { callUntilDeadline } from "./call_until_deadline.ts";
import { createCallMessage } from "./create_call_message.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { reportAttempt } from "./report_attempt.ts";
import { runCall } from "./run_call.ts";
import { sendOnce } from "./send_once.ts";

/** Refusals by instances that cannot run it that a call is sent on after, free of its allowance. */
const MAX_REDIRECTS = 8;

/**
 * Sends a call until it is answered or the policy ends it.
 *
 * An unknown outcome of an earlier attempt is never turned into a refusal.
 *
 * @param environment - The daemon's parts
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
  const { clock, journal, retryPolicy } = environment;
  const { requestId, isRepeatable } = call.context;
  const { service } = call;
  const history = new AttemptHistory();
  const excluded = new Set<string>();
  let allowance = call.context.retryAllowance;
  let redirects = 0;
  let attempts = 0;
  for (;;) {
    attempts += 1;
    const handedDown = retryPolicy.computeNestedAllowance(allowance);
    const remainingMs = call.deadlineAtMs - clock.monotonicMs();
    const result = await tryOneInstance(
      environment,
      {
        ...call,
        context: { ...call.context, retryAllowance: handedDown, remainingMs },
      },
      { excluded, attempts, hasKept: handedDown < allowance },
    );
    allowance += readUnused(result, handedDown) - handedDown;
    const failure = history.note(result);
    if (!failure) {
      if (earnsRetries(call)) {
        retryPolicy.recordSuccess(service);
      }
      return result.map((answer) => ({
        ...answer,
        unusedAllowance: allowance,
      }));
    }
    if (mayRedirect(failure) && redirects < MAX_REDIRECTS) {
      redirects += 1;
      attempts -= 1;
      continue;
    }
    const question = {
      failure,
      service,
      attempts,
      overloadedAttempts: history.overloadedCount,
      allowance,
      isRepeatable,
      remainingMs: call.deadlineAtMs - clock.monotonicMs(),
    };
    const isExhausted = call.signal.aborted ||
      attempts >= (call.maxAttempts ?? Number.POSITIVE_INFINITY);
    if (isExhausted || !retryPolicy.acquireRetry(question)) {
      const { reason } = failure;
      const facts = { service, reason, attempts, allowance };
      journal.record(DECISIONS.retryDenied, facts, requestId);
      return history.settle(failure, allowance);
    }
    allowance -= retryPolicy.spendsAllowance ? 1 : 0;
  }
}

/** Where the whole fleet has one budget, it grows with the requests of callers, not with the calls below them. */
function earnsRetries({ context, maxAttempts }: OutboundCall): boolean {
  return maxAttempts === undefined || context.depth === 0;
}

function readUnused(result: CallResult, handedDown: number): number {
  const { unusedAllowance } = result.isOk() ? result.value : result.error;
  return Math.min(handedDown, unusedAllowance);
}

/** The backend server has not seen the call, so that another may be asked as if it had been the first. */
function mayRedirect({ kind, reason }: CallFailure): boolean {
  return kind === "refused" && UNREACHED_REASONS.has(reason);
}

interface AttemptOptions {
  readonly excluded: Set<string>;
  readonly attempts: number;
  /** Whether a retry would be left after a lost reply. */
  readonly hasKept: boolean;
}

async function tryOneInstance(
  environment: CallEnvironment,
  call: OutboundCall,
  { excluded, attempts, hasKept }: AttemptOptions,
): Promise<CallResult> {
  const { chooser, clock, membership, metrics, entryAdmission, paths } =
    environment;
  const unusedAllowance = call.context.retryAllowance;
  if (call.context.remainingMs <= 0) {
    return err(createRefusal(REASONS.deadlineExpired, { unusedAllowance }));
  }
  const { classRank, service, context: { isBulk, isRepeatable } } = call;
  const choice = chooser.choose(membership.listInstances(service), {
    service,
    excluded,
    isBulk,
    isRepeatable,
    classRank,
    targetLatencyMs: call.targetLatencyMs,
  });
  if (choice.isErr()) {
    const { reason, retryAfterMs } = choice.error;
    return err(createRefusal(reason, { unusedAllowance, retryAfterMs }));
  }
  const instance = choice.value;
  excluded.add(instance.incarnation);
  metrics.attempts.inc({ service: call.service, retry: String(attempts > 1) });
  const startedAtMs = clock.monotonicMs();
  chooser.begin(instance, { isBulk });
  const failsWhenSilent = hasKept && call.context.isRepeatable;
  const result = await sendToInstance(environment, call, {
    instance,
    failsWhenSilent,
  });
  chooser.end(
    instance,
    reportAttempt(call, result, clock.monotonicMs() - startedAtMs),
  );
  if (result.isErr() && result.error.reason === REASONS.leaving) {
    membership.markLeaving(instance.incarnation);
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
  if (call.guard) {
    return await sendOnce(environment, call, {
      runner: instance,
      guard: call.guard,
    });
  }
  if (instance.incarnation === membership.self.incarnation) {
    return await runCall(environment, call);
  }
  const { result } = await callUntilDeadline(peers.get(instance), clock, {
    message: createCallMessage(call, "run"),
    body: call.body,
    deadlineAtMs: call.deadlineAtMs,
    signal: call.signal,
    failsWhenSilent,
  });
  return result;
}
