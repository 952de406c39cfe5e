/**
 * Access to the other daemons for configuration distribution.
 */

import type { Result } from "neverthrow";
import type VError from "verror";
import { ConfigurationPeers } from "../configuration/mod.ts";
import type { VersionNotice } from "../configuration/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import type { Membership } from "../membership/mod.ts";
import { fetchConfiguration } from "../peer/mod.ts";
import type { PeerConnectionOptions } from "../peer/mod.ts";

/** Reaches the other daemons through membership and peer connections. */
export class DaemonConfigurationPeers extends ConfigurationPeers {
  readonly #membership: Membership;
  readonly #connectionOptions: PeerConnectionOptions;

  constructor(
    membership: Membership,
    connectionOptions: PeerConnectionOptions,
  ) {
    super();
    this.#membership = membership;
    this.#connectionOptions = connectionOptions;
  }

  override get self(): MemberRecord {
    return this.#membership.self;
  }

  override listLive(): readonly MemberRecord[] {
    return this.#membership.listAll().filter(({ state }) => state !== "dead");
  }

  override announce(): void {
    this.#membership.announceConfigurationVersion();
  }

  override announceRefusal(version: number): void {
    const atMs = Math.round(this.#connectionOptions.clock.nowMs());
    this.#membership.announceNotice({ kind: "refused-version", version, atMs });
  }

  override fetch(
    peer: VersionNotice,
    knownVersion: number,
  ): Promise<Result<Uint8Array, VError>> {
    return fetchConfiguration(peer, knownVersion, this.#connectionOptions);
  }
}
