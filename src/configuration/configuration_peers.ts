/**
 * What the spread of configurations needs of the other daemons.
 */

import type { Result } from "neverthrow";
import type VError from "verror";
import type { MemberRecord } from "../generated/types.ts";
import type { VersionNotice } from "./peer_versions.ts";

/** The other daemons. */
export abstract class ConfigurationPeers {
  /** The daemon's own record. */
  abstract get self(): MemberRecord;

  /** Members that take part, the own one included. */
  abstract listLive(): readonly MemberRecord[];

  /** Tells a few members at once that the own version has changed. */
  abstract announce(): void;

  /** Fetches from a peer what is missing above a known version. */
  abstract fetch(
    peer: VersionNotice,
    knownVersion: number,
  ): Promise<Result<Uint8Array, VError>>;
}
