/**
 * One request of a caller that tries again until its own deadline.
 */

import type {
  TestCall,
  TestCaller,
  TestOutcome,
} from "../../testing/test_caller.ts";
import type { CallerBehavior } from "./load_plan.ts";
import { FINAL_OUTCOMES } from "./load_report.ts";
import type { FinalOutcome } from "./load_report.ts";

/** What became of a request over all its attempts. */
export interface RequestOutcome {
  readonly attempts: number;
  readonly outcome: FinalOutcome;
  readonly reason: string;
}

const FIRST_ERROR_STATUS = 400;

/**
 * Sends a request and repeats it under the same id until it is answered, the
 * attempts are used up, or the caller's deadline has passed.
 *
 * @param caller - Sender of single attempts
 * @param call - The request; its timeout is set for each attempt
 * @param behavior - How the caller repeats
 * @returns The outcome of the request
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
