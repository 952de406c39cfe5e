/**
 * Forwarding of a non-repeatable call to the daemon that holds its key.
 */

import { err } from "neverthrow";
import type { MemberRecord } from "../generated/types.ts";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { callUntilDeadline } from "./call_until_deadline.ts";
import { createCallMessage } from "./create_call_message.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** Pause before the holder is tried again, in milliseconds. */
const FORWARD_INTERVAL_MS = 50;

/**
 * Sends a call to the holder of its key until the holder tells the outcome.
 *
 * The holder joins duplicates, so the call is sent again after a lost
 * connection, to the same daemon process or to the one that took its keys over.
 *
 * @param environment - The daemon's parts
 * @param call - A call with an idempotency key
 * @param holder - Incarnation that the key names
 * @returns The outcome; without the holder's word it is unknown, unless the
 *   caller states a first attempt and nothing was sent
 *
 * @example
 * const result = await forwardToHolder(environment, call, key.holder);
 */
export async function forwardToHolder(
  environment: CallEnvironment,
  call: OutboundCall,
  holder: string,
): Promise<CallResult> {
  const { clock, peers } = environment;
  const attempt = call.attempt;
  let isSent = false;
  while (clock.monotonicMs() < call.deadlineAtMs && !call.signal.aborted) {
    const target = await findHolder(environment, holder);
    if (!target) {
      break;
    }
    const { deadlineAtMs, signal } = call;
    const remainingMs = deadlineAtMs - clock.monotonicMs();
    const context = { ...call.context, remainingMs };
    const message = {
      ...createCallMessage({ ...call, context }, "dispatch"),
      attempt,
    };
    const { result, trace } = await callUntilDeadline(
      peers.get(target),
      clock,
      { message, body: call.body, deadlineAtMs, signal },
    );
    if (trace.isReplied) {
      return result;
    }
    isSent ||= trace.isSent;
    if (!isSent && attempt === 1) {
      break;
    }
    await clock.sleep(FORWARD_INTERVAL_MS);
  }
  return describeMissingHolder(call, isSent);
}

/** The member that holds the keys of a daemon process; undefined when it is gone or nobody knows it. */
async function findHolder(
  environment: CallEnvironment,
  holder: string,
): Promise<MemberRecord | undefined> {
  const { membership, successors } = environment;
  successors.update(membership.listAll());
  const current = successors.findHolder(holder);
  const record = await findMember(environment, current);
  successors.update(record ? [record] : []);
  if (successors.findHolder(holder) !== current) {
    return await findHolder(environment, holder);
  }
  return record?.state === "dead" ? undefined : record;
}

/** A daemon knows only the members it deals with; others are asked for. */
async function findMember(
  { membership, successors }: CallEnvironment,
  incarnation: string,
): Promise<MemberRecord | undefined> {
  const known = membership.find(incarnation);
  if (known || successors.isMissing(incarnation)) {
    return known;
  }
  const found = await membership.lookUp(incarnation);
  if (!found) {
    successors.recordMissing(incarnation);
  }
  return found;
}

function describeMissingHolder(
  call: OutboundCall,
  isSent: boolean,
): CallResult {
  const unusedAllowance = call.context.retryAllowance;
  return !isSent && call.attempt === 1
    ? err(createRefusal(REASONS.keyHolderGone, { unusedAllowance }))
    : err(createUnknownOutcome(REASONS.keyHolderGone));
}
