/**
 * How many daemons share the link of a region.
 */

import type { Configuration, MemberRecord } from "../generated/types.ts";

/**
 * Estimates the daemons of this daemon's region. Its own failure domain is known
 * whole, others perhaps in part, so they count as at least as large as its own.
 *
 * @param members - Members known here that are not dead, this daemon included
 * @param self - This daemon
 * @param regions - Regions and failure domains of the configuration
 * @returns A number of at least 1
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
