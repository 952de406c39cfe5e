/**
 * Recording of what became of a call at the daemon that it entered at.
 */

import type { CallResult } from "../outcome/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";

/** What is recorded beside the outcome. */
export interface OutcomeFacts {
  readonly className: string;
  readonly tenant: string;
  readonly requestId: string;
  readonly service: string;
  /** When the call arrived, in monotonic milliseconds. */
  readonly startedAtMs: number;
}

/**
 * Records an outcome in metrics, and in journal and log if it is no answer.
 *
 * @param environment - The daemon's parts
 * @param result - The outcome
 * @param facts - What the call was
 *
 * @example
 * recordOutcome(environment, result, { className, tenant, requestId, service, startedAtMs });
 */
export function recordOutcome(
  environment: CallEnvironment,
  result: CallResult,
  facts: OutcomeFacts,
): void {
  const { clock, journal, log, metrics } = environment;
  const { className, tenant, requestId, service } = facts;
  const durationMs = clock.monotonicMs() - facts.startedAtMs;
  const outcome = result.isOk() ? "answered" : result.error.kind;
  metrics.callDuration.observe(
    { class: className, tenant, outcome },
    durationMs / 1_000,
  );
  if (result.isOk()) {
    return;
  }
  const { reason } = result.error;
  metrics.failures.inc({ class: className, outcome, reason });
  const kind = outcome === "refused"
    ? DECISIONS.refusal
    : DECISIONS.unknownOutcome;
  journal.record(kind, {
    service,
    reason,
    class: className,
    durationMs: Math.round(durationMs),
  }, requestId);
  log.debug({ requestId, service, reason, outcome }, "call-failed");
}
