/**
 * Follows what the backend server of this VM says of itself in a response.
 */

import { formatServerId } from "../backend/mod.ts";
import type { ServerStatement } from "../backend/mod.ts";
import type { Announcement } from "../generated/types.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";

/** Response in which a statement was made. */
export interface StatementSource {
  /** Announcement of the server that responded. */
  readonly announcement: Announcement;
  readonly requestId: string;
}

/**
 * Applies a statement, unless another server has taken the place of the one that
 * made it.
 *
 * @param environment - Components of the daemon
 * @param statement - The statement
 * @param source - The response in which it was made
 *
 * @example
 * observeStatement(environment, statement, { announcement, requestId });
 */
export function observeStatement(
  { backend, inboundAdmission, journal, metrics }: CallEnvironment,
  { requestsPerSecond, invalidLimit, isLeaving, load }: ServerStatement,
  { announcement, requestId }: StatementSource,
): void {
  if (!backend.isCurrent(announcement)) {
    return;
  }
  const { instanceId = "" } = announcement;
  if (isLeaving && !backend.isServerLeaving) {
    const serverId = formatServerId(announcement);
    const facts = { serverId, toldBy: "answer" };
    backend.leave(announcement);
    journal.record(DECISIONS.serverLeaving, facts, requestId);
  }
  if (invalidLimit !== undefined) {
    const facts = { instanceId, error: invalidLimit };
    journal.record(DECISIONS.serverLimitInvalid, facts, requestId);
  }
  if (load?.slownessRatio !== undefined) {
    inboundAdmission.observeSlowness(load.slownessRatio);
  }
  const previous = inboundAdmission.requestsPerSecond;
  const current = invalidLimit === undefined ? requestsPerSecond : previous;
  inboundAdmission.setRequestRate(current);
  if (current === previous) {
    return;
  }
  metrics.recordServerLimit(instanceId, current);
  journal.record(DECISIONS.serverLimit, {
    instanceId,
    from: previous ?? "none",
    to: current ?? "none",
  }, requestId);
}
