/**
 * Finds out whether the backend server of this VM can run a call now.
 */

import { BACKEND_STATES } from "../backend/mod.ts";
import { createRunKind } from "../leaving/mod.ts";
import { REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** What is known of the call besides its content. */
export interface RefusalCircumstances {
  /** Whether the call was accepted earlier and has waited for a slot since. */
  readonly wasAccepted?: boolean;
}

/**
 * Finds the reason why a call must not run on the backend server of this VM.
 *
 * @param environment - Components of the daemon
 * @param call - The call
 * @param circumstances - Whether it was accepted earlier
 * @returns The reason, or undefined if the call may run
 *
 * @example
 * const reason = findRefusalReason(environment, call, { wasAccepted: true });
 */
export function findRefusalReason(
  environment: CallEnvironment,
  call: OutboundCall,
  { wasAccepted = false }: RefusalCircumstances = {},
): Reason | undefined {
  const { backend, clock } = environment;
  if (
    backend.announcement?.service !== call.service ||
    backend.state === BACKEND_STATES.absent
  ) {
    return REASONS.noBackendServer;
  }
  if (
    backend.state === BACKEND_STATES.leaving &&
    !(wasAccepted && mayStillRun(environment, call))
  ) {
    return REASONS.leaving;
  }
  return clock.monotonicMs() >= call.deadlineAtMs
    ? REASONS.deadlineExpired
    : undefined;
}

/** Whether a call that was accepted before the daemon began to drain may run. A server that leaves itself accepts none. */
function mayStillRun(
  { backend, clock, stop }: CallEnvironment,
  call: OutboundCall,
): boolean {
  const limitMs = call.deadlineAtMs - clock.monotonicMs();
  const kind = createRunKind(call);
  const { receivedAtMs } = call;
  return !backend.isServerLeaving &&
    !stop.check({ kind, limitMs, receivedAtMs });
}
