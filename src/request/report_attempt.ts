/**
 * What the choice of instances learns from an attempt.
 */

import type { CallResult } from "../outcome/mod.ts";
import type { AttemptReport } from "../routing/mod.ts";
import { isErrorAnswer } from "./is_error_answer.ts";
import type { OutboundCall } from "./outbound_call.ts";

/**
 * Reports how an attempt ended.
 *
 * @param call - The call
 * @param result - Outcome of the attempt
 * @param durationMs - Time that it took, in milliseconds
 * @returns The report
 *
 * @example
 * chooser.end(instance, reportAttempt(call, result, durationMs));
 */
export function reportAttempt(
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
