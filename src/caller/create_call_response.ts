/**
 * HTTP responses for call outcomes: answered, refused and unknown.
 */

import { HEADERS } from "../constants/mod.ts";
import { REASONS } from "../outcome/mod.ts";
import type { CallFailure, CallResult, Reason } from "../outcome/mod.ts";

/** Values of the outcome header, by outcome. */
export const OUTCOME_VALUES = {
  answered: "answered",
  refused: "refused-not-run",
  unknown: "unknown",
} as const;

/** HTTP status by refusal reason, for refusals not caused by load. */
const REFUSAL_STATUS: Partial<Record<Reason, number>> = {
  [REASONS.unknownService]: 404,
  [REASONS.unknownRequest]: 404,
  [REASONS.invalidRequest]: 400,
  [REASONS.bodyTooLarge]: 413,
  [REASONS.keyRequired]: 428,
  [REASONS.keyInvalid]: 400,
  [REASONS.keyExpired]: 410,
  [REASONS.tooDeep]: 508,
};

const REFUSAL_STATUS_DEFAULT = 503;
const UNKNOWN_STATUS = 504;

/**
 * Creates the HTTP response that reports an outcome to the caller.
 *
 * @param result - Outcome of the call
 * @param requestId - Request id to return to the caller
 * @returns The response
 *
 * @example
 * return createCallResponse(await serveEntryCall(environment, entry), entry.requestId);
 */
export function createCallResponse(
  result: CallResult,
  requestId: string,
): Response {
  if (result.isErr()) {
    return createFailureResponse(result.error, requestId);
  }
  const { status, contentType, body } = result.value;
  const headers = new Headers({
    [HEADERS.outcome]: OUTCOME_VALUES.answered,
    [HEADERS.requestId]: requestId,
  });
  if (contentType !== "") {
    headers.set("content-type", contentType);
  }
  const mayHaveBody = status !== 204 && status !== 304;
  return new Response(mayHaveBody ? body as Uint8Array<ArrayBuffer> : null, {
    status,
    headers,
  });
}

function createFailureResponse(
  failure: CallFailure,
  requestId: string,
): Response {
  const outcome = OUTCOME_VALUES[failure.kind];
  const retryAfterMs = failure.kind === "refused"
    ? Math.round(failure.retryAfterMs)
    : 0;
  const status = failure.kind === "refused"
    ? REFUSAL_STATUS[failure.reason] ?? REFUSAL_STATUS_DEFAULT
    : UNKNOWN_STATUS;
  const headers = new Headers({
    [HEADERS.outcome]: outcome,
    [HEADERS.reason]: failure.reason,
    [HEADERS.requestId]: requestId,
  });
  if (retryAfterMs > 0) {
    headers.set(HEADERS.retryAfterMs, String(retryAfterMs));
    headers.set("retry-after", String(Math.ceil(retryAfterMs / 1_000)));
  }
  return Response.json({
    outcome,
    reason: failure.reason,
    ran: failure.kind === "refused" ? "no" : "unknown",
  }, {
    status,
    headers,
  });
}
