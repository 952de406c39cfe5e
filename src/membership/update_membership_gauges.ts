/**
 * Metrics of the membership.
 */

import type { DaemonMetrics } from "../telemetry/mod.ts";
import type { Membership } from "./membership.ts";

const STATES = ["alive", "suspect", "leaving", "dead"] as const;

/**
 * Updates the gauges for members by state and for membership traffic.
 *
 * @param metrics - Metrics of the daemon
 * @param membership - Membership of the daemon
 *
 * @example
 * updateMembershipGauges(metrics, membership);
 */
export function updateMembershipGauges(
  metrics: DaemonMetrics,
  membership: Membership,
): void {
  const counts = { alive: 0, suspect: 0, leaving: 0, dead: 0 };
  for (const { state } of membership.listAll()) {
    counts[state] += 1;
  }
  for (const state of STATES) {
    metrics.members.set({ state }, counts[state]);
  }
  const { receivedBytes, sentBytes } = membership.traffic;
  metrics.membershipBytes.set({ direction: "sent" }, sentBytes);
  metrics.membershipBytes.set({ direction: "received" }, receivedBytes);
}
