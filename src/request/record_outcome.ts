/**
 * Records of outcomes at the entry.
 */

import type { CallResult } from "../outcome/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";

/** What a record of an outcome names. */
export interface OutcomeFacts {
  readonly className: string;
  readonly tenant: string;
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly service: string;
}

/**
 * Records the outcome of a call in metrics, journal and log.
 *
 * @param environment - The daemon's parts
 * @param result - The outcome
 * @param facts - What the record names
 *
 * @example
 * recordOutcome(environment, result, { className, tenant, requestId, startedAtMs, service });
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
