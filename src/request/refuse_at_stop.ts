/**
 * Refusal of calls that may not end before this daemon does.
 */

import type { Refusal } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** Parts of a daemon that decide. */
export type StopEnvironment = Pick<CallEnvironment, "clock" | "stop">;

/**
 * Refuses to send a caller's call while the daemon stops, unless it ends in time.
 * Nested calls are always sent: their parents are in progress and would fail.
 *
 * @param environment - Components of the daemon
 * @param call - The call, before its first or a further attempt
 * @returns The refusal, or undefined if the call may be sent
 *
 * @example
 * const refusal = refuseAtStop(environment, call);
 */
export function refuseAtStop(
  { clock, stop }: StopEnvironment,
  { context, deadlineAtMs, receivedAtMs }: OutboundCall,
): Refusal | undefined {
  return context.depth > 0 ? undefined : stop.check({
    kind: context.requestName,
    limitMs: deadlineAtMs - clock.monotonicMs(),
    receivedAtMs,
  });
}
