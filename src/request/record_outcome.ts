/**
 * Records the outcomes of calls that enter the fleet at this daemon.
 */

import { REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionFacts } from "../telemetry/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";

/** Call details that are recorded with an outcome. */
export interface OutcomeDetails {
  readonly className: string;
  readonly tenant: string;
  readonly requestId: string;
  /** When the call was received, in monotonic milliseconds. */
  readonly startedAtMs: number;
  readonly service: string;
}

/**
 * Records the outcome of a call in the metrics, the journal and the log.
 *
 * @param environment - Components of the daemon
 * @param result - The outcome
 * @param details - Details of the call
 *
 * @example
 * recordOutcome(environment, result, { className, tenant, requestId, startedAtMs, service });
 */
export function recordOutcome(
  environment: CallEnvironment,
  result: CallResult,
  details: OutcomeDetails,
): void {
  const { clock, journal, log, metrics } = environment;
  const { className, tenant, requestId, service } = details;
  const durationMs = clock.monotonicMs() - details.startedAtMs;
  const outcome = result.isOk() ? "answered" : result.error.kind;
  metrics.callDuration.observe(
    { class: className, tenant: metrics.accounts.label(tenant), outcome },
    durationMs / 1_000,
  );
  if (result.isOk()) {
    return;
  }
  const { reason: statedReason, triedReason } = result.error;
  // Callers are told that no instance is left; why the last one did not serve the
  // call is what tells overload from instances that are not known.
  const reason = triedReason ?? statedReason;
  metrics.failures.inc({ class: className, outcome, reason });
  if (reason === REASONS.unauthorized) {
    // Callers without a key must not displace the entries of others in the journal.
    return;
  }
  const kind = outcome === "refused"
    ? DECISIONS.refusal
    : DECISIONS.unknownOutcome;
  journal.record(kind, {
    service,
    reason,
    ...triedReason && { statedReason },
    ...reason === REASONS.notReady && explainNotReady(environment),
    class: className,
    durationMs: Math.round(durationMs),
  }, requestId);
  log.debug({ requestId, service, reason, outcome }, "call-failed");
}

/** Says why this daemon has no configuration, unless another daemon lacked one. */
function explainNotReady(
  { configuration, configurationProgress }: CallEnvironment,
): DecisionFacts {
  if (configuration.current) {
    return {};
  }
  const { reason, version } = configurationProgress.explainMissing();
  return { missing: reason, ...version > 0 && { version } };
}
