/**
 * Forwards a non-repeatable call to the daemon that holds its idempotency key.
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
import { callWithDeadline } from "../peer/mod.ts";
import { createCallMessage } from "./create_call_message.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** Interval between attempts to reach the holder, in milliseconds. */
const RETRY_INTERVAL_MS = 50;

/**
 * Sends a call to the holder of its key until the holder returns the outcome.
 *
 * The holder deduplicates by key, so the call is sent again after a lost
 * connection, to the same daemon process or to the one that took over its keys.
 *
 * @param environment - Components of the daemon
 * @param call - A call with an idempotency key
 * @param holder - Incarnation of the daemon that issued the key, or of a successor
 *   that took it over
 * @returns The outcome; without a reply from the holder it is unknown, or a
 *   refusal if the caller stated that this is its first attempt and nothing was
 *   sent
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
    const { result, progress } = await callWithDeadline(
      peers.get(target),
      clock,
      { message, body: call.body, deadlineAtMs, signal },
    );
    if (progress.isReplied) {
      return result;
    }
    isSent ||= progress.isSent;
    if (!isSent && attempt === 1) {
      break;
    }
    await clock.sleep(RETRY_INTERVAL_MS);
  }
  return createHolderGoneResult(call, isSent);
}

/** Returns the member that holds the keys of a daemon process; undefined if it is dead or unknown. */
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

/** Looks a member up remotely if it is not known here, since a daemon knows only the members that it uses. */
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

function createHolderGoneResult(
  call: OutboundCall,
  isSent: boolean,
): CallResult {
  const unusedAllowance = call.context.retryAllowance;
  return !isSent && call.attempt === 1
    ? err(createRefusal(REASONS.keyHolderGone, { unusedAllowance }))
    : err(createUnknownOutcome(REASONS.keyHolderGone));
}
