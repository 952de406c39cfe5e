/**
 * Sends a call to an instance of its service, and to another one where the
 * retry policy allows it.
 */

import { err } from "neverthrow";
import type { MemberRecord } from "../generated/types.ts";
import { createRefusal, createUncertainty, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { AttemptReport } from "../routing/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { runCall } from "./run_call.ts";
import { sendOnce } from "./send_once.ts";

/** Wait suggested when no instance is known, in milliseconds. */
const NO_INSTANCE_RETRY_AFTER_MS = 1_000;

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
  const excluded = new Set<string>();
  let allowance = call.context.retryAllowance;
  let hasUnknownAttempt = false;
  retryPolicy.recordCall(call.service);
  for (let attempts = 1;; attempts += 1) {
    const remainingMs = call.deadlineAtMs - clock.monotonicMs();
    const attempt = {
      ...call,
      context: { ...call.context, retryAllowance: allowance, remainingMs },
    };
    const result = await tryOneInstance(environment, attempt, {
      excluded,
      attempts,
    });
    if (result.isOk()) {
      return result;
    }
    const failure = result.error;
    hasUnknownAttempt ||= failure.kind === "unknown";
    allowance = Math.min(allowance, failure.unusedAllowance);
    const isRepeatable = call.context.isRepeatable;
    const question = {
      failure,
      service: call.service,
      attempts,
      allowance,
      isRepeatable,
      remainingMs,
    };
    if (call.signal.aborted || !retryPolicy.mayRetry(question)) {
      journal.record(DECISIONS.retryDenied, {
        service: call.service,
        reason: failure.reason,
        attempts,
        allowance,
      }, call.context.requestId);
      const { reason, loads } = failure;
      const unusedAllowance = allowance;
      return hasUnknownAttempt
        ? err(createUncertainty(reason, { loads, unusedAllowance }))
        : err({ ...failure, unusedAllowance });
    }
    allowance -= retryPolicy.isCounted ? 1 : 0;
  }
}

interface AttemptOptions {
  readonly excluded: Set<string>;
  readonly attempts: number;
}

async function tryOneInstance(
  environment: CallEnvironment,
  call: OutboundCall,
  { excluded, attempts }: AttemptOptions,
): Promise<CallResult> {
  const { chooser, clock, membership, metrics, entryAdmission } = environment;
  const unusedAllowance = call.context.retryAllowance;
  if (call.context.remainingMs <= 0) {
    return err(createRefusal(REASONS.deadlineExpired, { unusedAllowance }));
  }
  const { classRank, context: { isBulk } } = call;
  const instance = chooser.choose(membership.listInstances(call.service), {
    excluded,
    isBulk,
    classRank,
  });
  if (!instance) {
    return err(
      createRefusal(REASONS.noInstance, {
        unusedAllowance,
        retryAfterMs: NO_INSTANCE_RETRY_AFTER_MS,
      }),
    );
  }
  excluded.add(instance.incarnation);
  metrics.attempts.inc({ service: call.service, retry: String(attempts > 1) });
  const startedAtMs = clock.monotonicMs();
  chooser.begin(instance);
  const result = await sendToInstance(environment, call, instance);
  chooser.end(
    instance,
    reportAttempt(call, result, clock.monotonicMs() - startedAtMs),
  );
  entryAdmission.observe(
    result.isOk() ? result.value.loads : result.error.loads,
  );
  return result;
}

function reportAttempt(
  call: OutboundCall,
  result: CallResult,
  durationMs: number,
): AttemptReport {
  if (result.isOk()) {
    const { loads, body } = result.value;
    return {
      durationMs,
      outcome: "answered",
      reason: "",
      loads,
      bodyBytes: call.body.length + body.length,
    };
  }
  const { kind, reason, loads } = result.error;
  return {
    durationMs,
    outcome: kind,
    reason,
    loads,
    bodyBytes: call.body.length,
  };
}

async function sendToInstance(
  environment: CallEnvironment,
  call: OutboundCall,
  instance: MemberRecord,
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
  const deadline = new AbortController();
  const cancel = () => deadline.abort();
  const cancelDeadline = clock.schedule(call.context.remainingMs, cancel);
  call.signal.addEventListener("abort", cancel);
  const { context, idempotencyKey, service, method, path, contentType, body } =
    call;
  const bodyLengthBytes = body.length;
  const message = {
    context,
    idempotencyKey,
    service,
    method,
    path,
    contentType,
    bodyLengthBytes,
  };
  const result = await peers.get(instance)
    .call({ kind: "call", purpose: "run", ...message }, body, {
      signal: deadline.signal,
    });
  cancelDeadline();
  call.signal.removeEventListener("abort", cancel);
  return result;
}
