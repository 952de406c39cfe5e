/**
 * The connections of one daemon to others, one for each incarnation.
 */

import type { MemberRecord } from "../generated/types.ts";
import { PeerClient } from "../peer/mod.ts";
import type { PeerConnectionOptions } from "../peer/mod.ts";

/** Opens connections when they are needed and closes those to members that have gone. */
export class PeerClients {
  readonly #options: PeerConnectionOptions;
  readonly #clients = new Map<string, PeerClient>();

  constructor(options: PeerConnectionOptions) {
    this.#options = options;
  }

  /** The connection to a member. */
  get(member: MemberRecord): PeerClient {
    const known = this.#clients.get(member.incarnation);
    if (known) {
      return known;
    }
    const client = new PeerClient(member, this.#options);
    this.#clients.set(member.incarnation, client);
    return client;
  }

  /** Closes connections that no listed member uses and that wait for nothing. */
  retain(incarnations: ReadonlySet<string>): void {
    for (const [incarnation, client] of this.#clients) {
      if (!incarnations.has(incarnation) && client.pendingCalls === 0) {
        client.close();
        this.#clients.delete(incarnation);
      }
    }
  }

  /** Closes every connection. */
  close(): void {
    for (const client of this.#clients.values()) {
      client.close();
    }
    this.#clients.clear();
  }
}
