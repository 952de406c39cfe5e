/**
 * A caller of non-repeatable requests that follows the rules of the interface.
 */

import type { History } from "../../testing/guarded/history.ts";
import type { TestCaller, TestOutcome } from "../../testing/test_caller.ts";

/** A non-repeatable request of a caller. */
export interface NonRepeatableRequest {
  readonly requestId: string;
  readonly key: string;
  /** Entries of the attempts, one after the other. */
  readonly entryUrls: readonly string[];
  readonly deadlineMs: number;
}

/** What a caller saw in the end. */
export interface NonRepeatableOutcome {
  readonly outcome: TestOutcome["outcome"];
  readonly attempts: number;
  readonly durationMs: number;
  readonly firstAttemptMs: number;
}

/** What callers share. */
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
 * Sends a request until it is answered or its attempts are used up.
 *
 * The key stays the same, unless a refusal gives a fresh one.
 *
 * @param callers - Client and history
 * @param request - The request
 * @returns The last outcome; unknown where an earlier attempt was
 *
 * @example
 * const { outcome } = await sendOnceWithRetries({ caller, history }, request);
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

/** Names the run that an answer tells of; empty when the answer is not whole. */
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
