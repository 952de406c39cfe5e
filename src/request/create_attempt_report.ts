/**
 * Creates the report of an attempt for the load balancer.
 */

import type { CallResult } from "../outcome/mod.ts";
import type { AttemptReport } from "../routing/mod.ts";
import { isErrorAnswer } from "./is_error_answer.ts";
import type { OutboundCall } from "./outbound_call.ts";

/**
 * Creates the report of an attempt that has ended.
 *
 * @param call - The call
 * @param result - Outcome of the attempt
 * @param durationMs - Duration of the attempt, in milliseconds
 * @returns The report
 *
 * @example
 * loadBalancer.finishAttempt(instance, createAttemptReport(call, result, durationMs));
 */
export function createAttemptReport(
  call: OutboundCall,
  result: CallResult,
  durationMs: number,
): AttemptReport {
  const { isBulk } = call.context;
  if (result.isOk()) {
    const { loads, body, isGivenUp } = result.value;
    return {
      durationMs,
      isBulk,
      outcome: "answered",
      reason: "",
      isErrorAnswer: isErrorAnswer(result) && !isGivenUp,
      loads,
      bodyBytes: call.body.length + body.length,
    };
  }
  const { kind, reason, loads } = result.error;
  return {
    durationMs,
    isBulk,
    outcome: kind,
    reason,
    isErrorAnswer: false,
    loads,
    bodyBytes: call.body.length,
  };
}
