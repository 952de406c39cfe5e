/**
 * Creates the report of an attempt for the load balancer.
 */

import type { BackendClient } from "../backend/mod.ts";
import { REASONS } from "../outcome/mod.ts";
import type { CallFailure, CallResult } from "../outcome/mod.ts";
import type { AttemptReport } from "../routing/mod.ts";
import type { StatedSlowness } from "../slowness/mod.ts";
import { isErrorAnswer } from "./is_error_answer.ts";
import type { OutboundCall } from "./outbound_call.ts";
import type { SpillNote } from "./spill_note.ts";

const MS_PER_SECOND = 1_000;

/** Options of {@link createAttemptReport}. */
export interface AttemptReportOptions {
  /** Duration of the attempt, in milliseconds. */
  readonly durationMs: number;
  readonly backendClient: BackendClient;
  /** Momentary slowness that the reply states, if it does. */
  readonly slowness: StatedSlowness | undefined;
  /** Load that the reply states, if it does. */
  readonly spillNote: SpillNote | undefined;
}

/**
 * Creates the report of an attempt that has ended.
 *
 * @param call - The call
 * @param result - Outcome of the attempt
 * @param options - Duration of the attempt in milliseconds, the client that reads
 *   the statements of backend servers, and the slowness and load that the reply states
 * @returns The report
 *
 * @example
 * loadBalancer.finishAttempt(instance, createAttemptReport(call, result, { durationMs, backendClient, slowness, spillNote }));
 */
export function createAttemptReport(
  call: OutboundCall,
  result: CallResult,
  { durationMs, backendClient, slowness, spillNote }: AttemptReportOptions,
): AttemptReport {
  const { isBulk } = call.context;
  if (result.isOk()) {
    const { loads, body, isGivenUp, headers = [] } = result.value;
    const { requestsPerSecond, invalidLimit } = backendClient.readStatement(
      headers,
    );
    return {
      ...invalidLimit === undefined && { limit: { requestsPerSecond } },
      durationMs,
      isBulk,
      outcome: "answered",
      reason: "",
      isErrorAnswer: isErrorAnswer(result) && !isGivenUp,
      loads,
      slowness,
      ...spillNote,
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
    ...reason === REASONS.limitedInstance &&
      { limit: { requestsPerSecond: readLimit(result.error) } },
  };
}

/** Reads the limit from a refusal for it, which suggests to retry after the time that the instance takes one request in. */
function readLimit(failure: CallFailure): number {
  const retryAfterMs = failure.kind === "refused" ? failure.retryAfterMs : 0;
  return MS_PER_SECOND / Math.max(1, retryAfterMs);
}
