/**
 * Report of a process that ended without saying that it leaves.
 */

import type { MemberLoss } from "../membership/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";

/**
 * Counts a loss, and logs it if the process had the address of this one; losses
 * of other members are in the journal, which logs them.
 *
 * @param loss - The loss
 * @param environment - Logger, metrics and clock of the daemon
 * @returns Nothing
 *
 * @example
 * reportMemberLoss(loss, { log, metrics, clock });
 */
export function reportMemberLoss(
  { member, isPredecessor }: MemberLoss,
  { log, metrics, clock }: Pick<CallEnvironment, "log" | "metrics" | "clock">,
): void {
  const role = isPredecessor ? "predecessor" : "other";
  metrics.vanishedMembers.inc({ role });
  if (isPredecessor) {
    const { incarnation, service, startedAtMs, state, version } = member;
    log.warn({
      predecessor: incarnation,
      ...{ service, state, version },
      startedAgoMs: Math.round(clock.nowMs() - startedAtMs),
    }, "predecessor-vanished");
  }
}
