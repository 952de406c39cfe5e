/**
 * Sends non-repeatable requests with retries, following the rules that the caller
 * interface sets for idempotency keys.
 */

import type { History } from "../../testing/fault_injection/history.ts";
import type { TestCaller, TestOutcome } from "../../testing/test_caller.ts";

/** Non-repeatable request with its idempotency key. */
export interface NonRepeatableRequest {
  readonly requestId: string;
  readonly key: string;
  /** Entry of each attempt, in order; their number limits the attempts. */
  readonly entryUrls: readonly string[];
  /** Timeout of each attempt. */
  readonly deadlineMs: number;
}

/** Final outcome of a request as seen by the caller. */
export interface NonRepeatableOutcome {
  readonly outcome: TestOutcome["outcome"];
  readonly attempts: number;
  readonly durationMs: number;
  readonly firstAttemptMs: number;
}

/** Client and history that all requests share. */
export interface CallerContext {
  readonly caller: TestCaller;
  readonly history: History;
}

const RETRY_DELAY_MS = 200;

interface AttemptState {
  key: string;
  attempt: number;
}

/**
 * Sends a request until it is answered or all attempts are used.
 *
 * All attempts use the same key, unless a refusal issues a new one. The daemons
 * report a refusal as an unknown outcome if an earlier attempt may have run.
 *
 * @param callers - Client and history
 * @param request - Request to send
 * @returns Outcome of the last attempt, the number of attempts and the durations
 *
 * @example
 * const { outcome } = await sendNonRepeatableRequest({ caller, history }, request);
 */
export async function sendNonRepeatableRequest(
  callers: CallerContext,
  request: NonRepeatableRequest,
): Promise<NonRepeatableOutcome> {
  const startedAtMs = performance.now();
  const state: AttemptState = { key: request.key, attempt: 1 };
  let firstAttemptMs = 0;
  let lastOutcome: TestOutcome["outcome"] = "lost";
  for (const [index, entryUrl] of request.entryUrls.entries()) {
    const result = await sendAttempt(callers, { request, state, entryUrl });
    firstAttemptMs = index === 0 ? result.durationMs : firstAttemptMs;
    lastOutcome = result.outcome;
    const isLastAttempt = index + 1 === request.entryUrls.length;
    if (lastOutcome === "answered" || isLastAttempt) {
      const durationMs = performance.now() - startedAtMs;
      return {
        outcome: lastOutcome,
        attempts: index + 1,
        durationMs,
        firstAttemptMs,
      };
    }
    const hasNewKey = lastOutcome === "refused-not-run" &&
      result.idempotencyKey !== "";
    state.key = hasNewKey ? result.idempotencyKey : state.key;
    state.attempt = hasNewKey ? 1 : state.attempt + 1;
    if (!hasNewKey) {
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }
  return { outcome: lastOutcome, attempts: 0, durationMs: 0, firstAttemptMs };
}

async function sendAttempt(
  { caller, history }: CallerContext,
  { request, state, entryUrl }: {
    request: NonRepeatableRequest;
    state: AttemptState;
    entryUrl: string;
  },
): Promise<TestOutcome> {
  const { requestId } = request;
  const { key, attempt } = state;
  history.add({ kind: "invoke", requestId, key, attempt });
  const result = await caller.send({
    ...{ entryUrl, requestId, attempt },
    service: "delivery-ledger",
    method: "POST",
    path: `/deliveries/${requestId}`,
    member: "member-1",
    idempotencyKey: key,
    body: JSON.stringify({ requestId }),
    timeoutMs: request.deadlineMs,
  });
  history.add({
    ...{ kind: "outcome", requestId, key, attempt, reason: result.reason },
    outcome: result.outcome === "refused-not-run" ? "refused" : result.outcome,
    body: result.outcome === "answered" ? formatRunId(result.text) : "",
  });
  return result;
}

/** Returns the identifier of the run that produced a response, or an empty string if the response is incomplete. */
function formatRunId(text: string): string {
  try {
    const { service, address, requestId, nested, filler } = JSON.parse(text);
    const isComplete = nested.requestId === requestId &&
      nested.filler.length === filler.length;
    return isComplete ? `${service}@${address}/${requestId}` : "";
  } catch {
    return "";
  }
}
