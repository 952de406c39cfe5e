/**
 * A caller of non-repeatable requests that follows the rules of the interface.
 */

import type { History } from "../../testing/fault_injection/history.ts";
import type { TestCaller, TestOutcome } from "../../testing/test_caller.ts";

/** A non-repeatable request of a caller. */
export interface OnceRequest {
  readonly requestId: string;
  readonly key: string;
  /** Entries of the attempts, one after the other. */
  readonly entryUrls: readonly string[];
  readonly deadlineMs: number;
}

/** What a caller saw in the end. */
export interface OnceOutcome {
  readonly outcome: TestOutcome["outcome"];
  readonly attempts: number;
  readonly durationMs: number;
  readonly firstAttemptMs: number;
}

/** What callers share. */
export interface OnceCallers {
  readonly caller: TestCaller;
  readonly history: History;
}

const RETRY_PAUSE_MS = 200;

interface Progress {
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
export async function sendOnceWithRetries(
  callers: OnceCallers,
  request: OnceRequest,
): Promise<OnceOutcome> {
  const startedAtMs = performance.now();
  const progress: Progress = { key: request.key, attempt: 1 };
  let firstAttemptMs = 0;
  let last: TestOutcome["outcome"] = "lost";
  for (const [index, entryUrl] of request.entryUrls.entries()) {
    const seen = await sendAttempt(callers, { request, progress, entryUrl });
    firstAttemptMs = index === 0 ? seen.durationMs : firstAttemptMs;
    last = seen.outcome;
    const isLastAttempt = index + 1 === request.entryUrls.length;
    if (last === "answered" || isLastAttempt) {
      const durationMs = performance.now() - startedAtMs;
      return { outcome: last, attempts: index + 1, durationMs, firstAttemptMs };
    }
    const isRekeyed = last === "refused-not-run" && seen.idempotencyKey !== "";
    progress.key = isRekeyed ? seen.idempotencyKey : progress.key;
    progress.attempt = isRekeyed ? 1 : progress.attempt + 1;
    if (!isRekeyed) {
      await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE_MS));
    }
  }
  return { outcome: last, attempts: 0, durationMs: 0, firstAttemptMs };
}

async function sendAttempt(
  { caller, history }: OnceCallers,
  { request, progress, entryUrl }: {
    request: OnceRequest;
    progress: Progress;
    entryUrl: string;
  },
): Promise<TestOutcome> {
  const { requestId } = request;
  const { key, attempt } = progress;
  history.add({ kind: "invoke", requestId, key, attempt });
  const seen = await caller.send({
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
    ...{ kind: "outcome", requestId, key, attempt, reason: seen.reason },
    outcome: seen.outcome === "refused-not-run" ? "refused" : seen.outcome,
    body: seen.outcome === "answered" ? describeAnswer(seen.text) : "",
  });
  return seen;
}

/** Names the run that an answer tells of; empty when the answer is not whole. */
function describeAnswer(text: string): string {
  try {
    const { service, address, requestId, nested, filler } = JSON.parse(text);
    const isWhole = nested.requestId === requestId &&
      nested.filler.length === filler.length;
    return isWhole ? `${service}@${address}/${requestId}` : "";
  } catch {
    return "";
  }
}
