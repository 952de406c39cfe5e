/**
 * Estimates how many daemons share a region's link.
 */

import type { Configuration, MemberRecord } from "../generated/types.ts";

/**
 * Estimates the number of daemons in this daemon's region. Membership of its
 * own failure domain is complete but that of other domains may be partial, so
 * the estimate is at least the size of its own domain times the number of
 * domains.
 *
 * @param members - Known members that are not dead, including this daemon
 * @param self - This daemon
 * @param regions - Regions and failure domains of the configuration
 * @returns The estimated number of daemons, at least 1
 *
 * @example
 * const bytesPerSecond = linkBytesPerSecond / countRegionDaemons(members, self, regions);
 */
export function countRegionDaemons(
  members: readonly MemberRecord[],
  self: Pick<MemberRecord, "region" | "failureDomain">,
  regions: Configuration["regions"],
): number {
  const known = members.filter(({ region }) => region === self.region);
  const own = known.filter(({ failureDomain }) =>
    failureDomain === self.failureDomain
  );
  const domains = regions.find(({ name }) => name === self.region)
    ?.failureDomains.length ?? 1;
  return Math.max(1, known.length, own.length * domains);
}
