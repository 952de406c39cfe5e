/**
 * Sends a request as a caller that retries until its own deadline.
 */

import type {
  TestCall,
  TestCaller,
  TestOutcome,
} from "../../testing/test_caller.ts";
import type { CallerBehavior } from "./load_plan.ts";
import { FINAL_OUTCOMES } from "./load_report.ts";
import type { FinalOutcome } from "./load_report.ts";

/** Outcome of a request after all its attempts. */
export interface RequestOutcome {
  readonly attempts: number;
  readonly outcome: FinalOutcome;
  /** Reason of the last attempt; `status-N` if it got a response. */
  readonly reason: string;
}

const FIRST_ERROR_STATUS = 400;

/**
 * Sends a request and retries it with the same request id until it is answered,
 * the attempts are used up, or the deadline leaves no time for another attempt.
 *
 * @param caller - Caller that sends the individual attempts
 * @param call - Request; the timeout is set for each attempt
 * @param behavior - Timeouts and retry policy
 * @returns The outcome after the last attempt
 *
 * @example
 * const { outcome } = await sendWithRetries(caller, call, plan.behavior);
 */
export async function sendWithRetries(
  caller: TestCaller,
  call: Omit<TestCall, "timeoutMs">,
  behavior: CallerBehavior,
): Promise<RequestOutcome> {
  const deadlineAtMs = performance.now() + behavior.deadlineMs;
  for (let attempt = 1;; attempt += 1) {
    const remainingMs = deadlineAtMs - performance.now();
    const timeoutMs = Math.max(
      1,
      Math.ceil(Math.min(remainingMs, behavior.attemptTimeoutMs)),
    );
    const reply = await caller.send({ ...call, attempt, timeoutMs });
    const outcome = classifyReply(reply, performance.now() <= deadlineAtMs);
    const waitMs = behavior.honorsRetryAfter
      ? Math.max(behavior.backoffMs, reply.retryAfterMs)
      : behavior.backoffMs;
    const hasTimeLeft = performance.now() + waitMs < deadlineAtMs;
    if (
      outcome === FINAL_OUTCOMES.answered || attempt >= behavior.maxAttempts ||
      !hasTimeLeft
    ) {
      return { attempts: attempt, outcome, reason: describeReason(reply) };
    }
    await new Promise((resolve) => setTimeout(resolve, waitMs));
  }
}

function classifyReply(reply: TestOutcome, isInTime: boolean): FinalOutcome {
  switch (reply.outcome) {
    case "answered":
      return isInTime && reply.status < FIRST_ERROR_STATUS
        ? FINAL_OUTCOMES.answered
        : FINAL_OUTCOMES.failed;
    case "refused-not-run":
      return FINAL_OUTCOMES.refused;
    case "unknown":
      return FINAL_OUTCOMES.unknown;
    case "lost":
      return FINAL_OUTCOMES.lost;
  }
}

function describeReason(reply: TestOutcome): string {
  return reply.outcome === "answered" ? `status-${reply.status}` : reply.reason;
}
