/**
 * Position of a daemon in its fleet, for dividing what all daemons share.
 */

import type { Configuration, MemberRecord } from "../generated/types.ts";

/** Size of the fleet, and the position of one daemon in it. */
export interface FleetPosition {
  /** Estimated number of daemons in the fleet. */
  readonly daemons: number;
  /** Index of the daemon, by failure domain and incarnation; exact if failure domains are equally large. */
  readonly index: number;
}

/**
 * Locates a daemon. Membership of its own failure domain is complete but that of
 * others may be partial, so the size of the fleet is estimated to be at least the
 * size of its own domain times the number of domains.
 *
 * @param members - Known members that are not dead, including this daemon
 * @param self - This daemon
 * @param regions - Regions and failure domains of the configuration
 * @returns The size of the fleet, at least 1, and the daemon's index
 *
 * @example
 * const { daemons, index } = locateDaemon(alive, self, document.regions);
 */
export function locateDaemon(
  members: readonly MemberRecord[],
  self: Pick<MemberRecord, "incarnation" | "failureDomain">,
  regions: Configuration["regions"],
): FleetPosition {
  const own = members.filter(({ failureDomain }) =>
    failureDomain === self.failureDomain
  );
  const domains = regions.flatMap(({ failureDomains }) => failureDomains)
    .sort();
  const domainIndex = Math.max(0, domains.indexOf(self.failureDomain));
  const ownIndex =
    own.filter(({ incarnation }) => incarnation < self.incarnation).length;
  return {
    daemons: Math.max(1, members.length, own.length * domains.length),
    index: domainIndex * own.length + ownIndex,
  };
}
