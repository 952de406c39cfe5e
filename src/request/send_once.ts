/**
 * Sends a non-repeatable call to one runner, the daemon that runs it on its
 * backend server.
 *
 * The message that starts the run is sent once. If the connection is lost
 * before the reply, the same runner process is asked for the outcome; this
 * query also prevents a run that has not started yet from starting later. Only
 * that process can prove the outcome: another process at the same address is
 * not asked, and while the runner is unreachable the outcome is unknown.
 */

import { err } from "neverthrow";
import { CallController } from "../cancellation/mod.ts";
import { ALLOWED_CLOCK_SKEW_MS } from "../idempotency/mod.ts";
import type { DispatchState, UnresolvedRun } from "../idempotency/mod.ts";
import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { callWithDeadline } from "../peer/mod.ts";
import { createCallMessage } from "./create_call_message.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { runCall } from "./run_call.ts";

/** Interval between queries to a runner, in milliseconds. */
const RESOLVE_INTERVAL_MS = 50;

const EMPTY_BODY = new Uint8Array(0);

/** Runner of an attempt and the dispatch that it belongs to. */
export interface RunnerAttempt {
  readonly runner: MemberRecord;
  readonly dispatchState: DispatchState;
}

/**
 * Sends a non-repeatable call to a runner and determines its outcome.
 *
 * @param environment - Components of the daemon
 * @param call - The call
 * @param attempt - The runner and the state of the dispatch
 * @returns The outcome; a refusal proves that the runner has not run the call and
 *   never will
 *
 * @example
 * const result = await sendOnce(environment, call, { runner, dispatchState });
 */
export async function sendOnce(
  environment: CallEnvironment,
  call: OutboundCall,
  { runner, dispatchState }: RunnerAttempt,
): Promise<CallResult> {
  const run = createRun(environment, call, runner);
  const isLocal =
    runner.incarnation === environment.membership.self.incarnation;
  const result = isLocal
    ? await environment.runs.runOnce(run, () => runCall(environment, call))
    : await startOnPeer(environment, call, { run, dispatchState });
  const unusedAllowance = call.context.retryAllowance;
  return result.mapErr((failure) =>
    failure.kind === "refused" ? { ...failure, unusedAllowance } : failure
  );
}

/**
 * Queries a runner for the outcome of a run until it replies or the call's
 * deadline passes.
 *
 * @param environment - Components of the daemon
 * @param call - The call, with the deadline for the queries
 * @param run - The run
 * @returns The outcome that the runner returned, or an unknown outcome
 *
 * @example
 * const result = await resolveRun(environment, call, dispatchState.unresolvedRun);
 */
export async function resolveRun(
  environment: CallEnvironment,
  call: OutboundCall,
  run: UnresolvedRun,
): Promise<CallResult> {
  const { clock, membership, peers } = environment;
  const { runKey, startBeforeMs } = run;
  const message = { ...createCallMessage(call, "resolve"), bodyLengthBytes: 0 };
  while (clock.monotonicMs() < call.deadlineAtMs) {
    const { result, progress } = await callWithDeadline(
      peers.get(run.runner),
      clock,
      {
        message: { ...message, runKey, startBeforeMs },
        body: EMPTY_BODY,
        deadlineAtMs: call.deadlineAtMs,
        // The query also keeps a run from starting whose caller has left.
        signal: new CallController().signal,
        memory: call.memory,
      },
    );
    if (progress.isReplied) {
      return result;
    }
    if (membership.find(run.runner.incarnation)?.state === "dead") {
      break;
    }
    await clock.sleep(RESOLVE_INTERVAL_MS);
  }
  return err(createUnknownOutcome(REASONS.connectionLost));
}

interface StartOptions {
  readonly run: UnresolvedRun;
  readonly dispatchState: DispatchState;
}

async function startOnPeer(
  environment: CallEnvironment,
  call: OutboundCall,
  { run, dispatchState }: StartOptions,
): Promise<CallResult> {
  const { clock, peers } = environment;
  const { runKey, startBeforeMs } = run;
  const { result, progress } = await callWithDeadline(
    peers.get(run.runner),
    clock,
    {
      message: { ...createCallMessage(call, "run"), runKey, startBeforeMs },
      body: call.body,
      deadlineAtMs: call.deadlineAtMs,
      signal: call.signal,
      memory: call.memory,
    },
  );
  if (progress.isReplied || !progress.isSent) {
    return result;
  }
  dispatchState.unresolvedRun = run;
  if (result.isErr() && result.error.reason === REASONS.deadlineExpired) {
    return result;
  }
  const resolved = await resolveRun(environment, call, run);
  if (resolved.isOk() || resolved.error.kind === "refused") {
    dispatchState.unresolvedRun = undefined;
  }
  return resolved;
}

function createRun(
  environment: CallEnvironment,
  call: OutboundCall,
  runner: MemberRecord,
): UnresolvedRun {
  const { clock, keys, membership } = environment;
  const remainingMs = Math.max(0, call.deadlineAtMs - clock.monotonicMs());
  const holder = membership.self.incarnation;
  return {
    runKey: `${call.idempotencyKey}#${holder}#${keys.allocateRunNumber()}`,
    startBeforeMs: clock.nowMs() + remainingMs + ALLOWED_CLOCK_SKEW_MS,
    runner,
  };
}
