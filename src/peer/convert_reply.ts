/**
 * Conversion between call outcomes and reply messages.
 */

import { err, ok } from "neverthrow";
import type { ReplyMessage } from "../generated/types.ts";
import {
  createRefusal,
  createUnknownOutcome,
  isFinalStatus,
  REASONS,
} from "../outcome/mod.ts";
import type { CallResult, Reason } from "../outcome/mod.ts";

/** A reply message and the body sent with it. */
export interface ReplyWithBody {
  readonly head: ReplyMessage;
  readonly body: Uint8Array;
}

const EMPTY_BODY = new Uint8Array(0);

/**
 * Converts a call outcome to a reply message.
 *
 * @param callId - Id of the call, unique on its connection
 * @param result - Outcome of the call
 * @returns The reply message and its body, which is empty for failures
 *
 * @example
 * const { head, body } = convertResultToReply(call.callId, result);
 */
export function convertResultToReply(
  callId: number,
  result: CallResult,
): ReplyWithBody {
  if (result.isOk()) {
    const { status, contentType, body, unusedAllowance, loads } = result.value;
    const { headers, isGivenUp = false } = result.value;
    const head: ReplyMessage = {
      kind: "reply",
      callId,
      outcome: "answered",
      reason: "",
      retryAfterMs: 0,
      status,
      contentType,
      bodyLengthBytes: body.length,
      unusedAllowance,
      isGivenUp,
      loads: [...loads],
    };
    if (headers) {
      head.headers = [...headers];
    }
    return { head, body };
  }
  const failure = result.error;
  const head: ReplyMessage = {
    kind: "reply",
    callId,
    outcome: failure.kind,
    reason: failure.reason,
    retryAfterMs: failure.kind === "refused" ? failure.retryAfterMs : 0,
    status: 0,
    contentType: "",
    bodyLengthBytes: 0,
    unusedAllowance: failure.unusedAllowance,
    isGivenUp: failure.isGivenUp ?? false,
    loads: [...failure.loads],
  };
  return { head, body: EMPTY_BODY };
}

/**
 * Converts a reply message to a call outcome.
 *
 * @param reply - The reply message
 * @param body - The complete body of the reply
 * @returns The outcome of the call
 *
 * @example
 * resolve(convertReplyToResult(reply, body));
 */
export function convertReplyToResult(
  reply: ReplyMessage,
  body: Uint8Array,
): CallResult {
  const { status, contentType, unusedAllowance, loads, retryAfterMs } = reply;
  const { headers, isGivenUp = false } = reply;
  const reason = reply.reason as Reason;
  switch (reply.outcome) {
    case "answered":
      // An older build passes on what its backend server wrote.
      if (!isFinalStatus(status)) {
        return err(
          createUnknownOutcome(REASONS.backendFailed, {
            ...{ unusedAllowance, loads, isGivenUp },
          }),
        );
      }
      return ok(
        headers
          ? {
            status,
            contentType,
            headers,
            body,
            unusedAllowance,
            isGivenUp,
            loads,
          }
          : { status, contentType, body, unusedAllowance, isGivenUp, loads },
      );
    case "refused":
      return err(createRefusal(reason, {
        retryAfterMs,
        unusedAllowance,
        loads,
        isGivenUp,
      }));
    case "unknown":
      return err(
        createUnknownOutcome(reason, { unusedAllowance, loads, isGivenUp }),
      );
  }
}
