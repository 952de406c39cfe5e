/**
 * Interface to the other daemons for distributing configurations.
 */

import type { Result } from "neverthrow";
import type VError from "verror";
import type { MemberRecord } from "../generated/types.ts";
import type { VersionNotice } from "./peer_versions.ts";

/** Access to the other daemons. */
export abstract class ConfigurationPeers {
  /** The member record of this daemon. */
  abstract get self(): MemberRecord;

  /** Lists the live members, including this daemon. */
  abstract listLive(): readonly MemberRecord[];

  /** Notifies a few members immediately that the local version has changed. */
  abstract announce(): void;

  /** Tells the failure domain of a version of the store that this daemon refused. */
  announceRefusal(_version: number): void {
    // Without gossip, each daemon knows only of what it refused itself.
  }

  /** Fetches a configuration transfer from a peer, with the changes after a known version. */
  abstract fetch(
    peer: VersionNotice,
    knownVersion: number,
  ): Promise<Result<Uint8Array, VError>>;
}
