/**
 * Connections from this daemon to other daemons, one for each incarnation.
 *
 * What silences one connection, such as a middlebox that lost its state, often
 * silences others. When one is replaced, those on which nothing has arrived since
 * are therefore checked at once, not only when a call is sent on them.
 */

import type { MemberRecord } from "../generated/types.ts";
import { PeerClient } from "../peer/mod.ts";
import type { PeerConnectionOptions } from "../peer/mod.ts";

/** Opens connections on demand and closes those to members that are gone. */
export class PeerClients {
  readonly #options: PeerConnectionOptions;
  readonly #clients = new Map<string, PeerClient>();

  constructor(options: PeerConnectionOptions) {
    this.#options = {
      ...options,
      reportReplacement: (replacement) => {
        options.reportReplacement?.(replacement);
        this.#proveAll(replacement.silenceMs);
      },
    };
  }

  /** Returns the connection to a member, opened on first use. */
  get(
    member: Pick<MemberRecord, "incarnation" | "address" | "peerPort">,
  ): PeerClient {
    const known = this.#clients.get(member.incarnation);
    if (known) {
      return known;
    }
    const client = new PeerClient(member, this.#options);
    this.#clients.set(member.incarnation, client);
    return client;
  }

  /** Closes connections to incarnations that are not in the given set and have no pending calls. */
  retain(incarnations: ReadonlySet<string>): void {
    for (const [incarnation, client] of this.#clients) {
      if (!incarnations.has(incarnation) && client.pendingCalls === 0) {
        client.close();
        this.#clients.delete(incarnation);
      }
    }
  }

  #proveAll(idleMs: number): void {
    for (const client of this.#clients.values()) {
      client.prove(idleMs);
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
