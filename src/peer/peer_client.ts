/**
 * The calling side of the connections to one daemon.
 *
 * A connection is opened when first needed. When it falls silent, a new one is
 * opened beside it and takes the new calls at once; replies that still arrive
 * on the old one count for the calls that wait on it. A reply is matched by the
 * connection that the call was sent on and a number that is never used twice
 * on it, so replies cannot cross.
 */

import { connect } from "node:net";
import type { Socket } from "node:net";
import { err } from "neverthrow";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { OutboundConnection } from "./outbound_connection.ts";
import type {
  CallWithoutId,
  OutboundConnectionListener,
  PeerCallOptions,
} from "./outbound_connection.ts";
import type {
  PeerAddress,
  PeerConnectionOptions,
} from "./peer_connection_handler.ts";

/** Calls to one daemon. */
export class PeerClient implements OutboundConnectionListener {
  readonly #address: PeerAddress;
  readonly #options: PeerConnectionOptions;
  readonly #replaced = new Set<OutboundConnection>();
  #current: OutboundConnection | undefined;

  constructor(address: PeerAddress, options: PeerConnectionOptions) {
    this.#address = address;
    this.#options = options;
  }

  /** Calls that wait for an outcome. */
  get pendingCalls(): number {
    const links = this.#current
      ? [this.#current, ...this.#replaced]
      : [...this.#replaced];
    return links.reduce((sum, { pendingCalls }) => sum + pendingCalls, 0);
  }

  /** Incarnation of the daemon at the other end; empty before the first connection. */
  get remoteIncarnation(): string {
    return this.#current?.remoteIncarnation ?? "";
  }

  /** Sends a call; a connection that cannot be opened is a refusal, since nothing was sent. */
  async call(
    call: CallWithoutId,
    body: Uint8Array,
    options: PeerCallOptions,
  ): Promise<CallResult> {
    const unusedAllowance = call.context.retryAllowance;
    const dialed = this.#dial();
    if (!dialed.link.isReady && !(await dialed.opened)) {
      this.#forget(dialed);
      return err(createRefusal(REASONS.connectFailed, { unusedAllowance }));
    }
    if (!this.#isMeant(dialed)) {
      return err(createRefusal(REASONS.connectFailed, { unusedAllowance }));
    }
    if (options.signal.aborted) {
      return err(createRefusal(REASONS.cancelled, { unusedAllowance }));
    }
    return await dialed.call(call, body, options);
  }

  /** Ends the connections. */
  close(): void {
    this.#current?.link.close();
    this.#current = undefined;
    this.#replaced.forEach(({ link }) => link.close());
  }

  onSilent(dialed: OutboundConnection, silenceMs: number): void {
    if (this.#current !== dialed) {
      return;
    }
    this.#replaced.add(dialed);
    this.#current = undefined;
    this.#options.reportReplacement?.({
      address: this.#address.address,
      silenceMs,
      pendingCalls: dialed.pendingCalls,
    });
    this.#dial();
  }

  onIdle(dialed: OutboundConnection): void {
    if (this.#replaced.has(dialed)) {
      dialed.link.close();
    }
  }

  onClosed(dialed: OutboundConnection): void {
    this.#replaced.delete(dialed);
    this.#forget(dialed);
  }

  #isMeant(dialed: OutboundConnection): boolean {
    const { incarnation } = this.#address;
    return incarnation === undefined ||
      dialed.remoteIncarnation === incarnation;
  }

  #dial(): OutboundConnection {
    if (this.#current && !this.#current.isSpent) {
      return this.#current;
    }
    const dial = this.#options.dial ?? connectTo;
    this.#current = new OutboundConnection(
      dial(this.#address),
      this.#options,
      this,
    );
    return this.#current;
  }

  #forget(dialed: OutboundConnection): void {
    if (this.#current === dialed) {
      this.#current = undefined;
    }
  }
}

function connectTo({ address, peerPort }: PeerAddress): Socket {
  return connect({ host: address, port: peerPort });
}
