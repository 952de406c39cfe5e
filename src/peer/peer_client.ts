/**
 * Client for calls to one peer daemon.
 *
 * The connection is opened on first use. When it becomes silent, a second one
 * is opened, which takes all new calls; calls pending on the old connection can
 * still complete there. Replies are matched by connection and by a call id that
 * is never reused on it, so that they cannot reach the wrong call.
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

/** Sends calls to one peer daemon. */
export class PeerClient implements OutboundConnectionListener {
  readonly #address: PeerAddress;
  readonly #options: PeerConnectionOptions;
  readonly #replaced = new Set<OutboundConnection>();
  #current: OutboundConnection | undefined;

  constructor(address: PeerAddress, options: PeerConnectionOptions) {
    this.#address = address;
    this.#options = options;
  }

  /** Number of calls without an outcome, on all connections. */
  get pendingCalls(): number {
    const connections = this.#current
      ? [this.#current, ...this.#replaced]
      : [...this.#replaced];
    return connections.reduce((sum, { pendingCalls }) => sum + pendingCalls, 0);
  }

  /** Incarnation of the peer; empty while there is no authenticated connection. */
  get remoteIncarnation(): string {
    return this.#current?.remoteIncarnation ?? "";
  }

  /** Sends a call. It is refused if no connection can be opened, since nothing was sent. */
  async call(
    call: CallWithoutId,
    body: Uint8Array,
    options: PeerCallOptions,
  ): Promise<CallResult> {
    const unusedAllowance = call.context.retryAllowance;
    const outbound = this.#openIfNeeded();
    if (!outbound.connection.isReady && !(await outbound.opened)) {
      this.#clearCurrent(outbound);
      return err(createRefusal(REASONS.connectFailed, { unusedAllowance }));
    }
    if (!this.#isExpectedPeer(outbound)) {
      return err(createRefusal(REASONS.connectFailed, { unusedAllowance }));
    }
    if (options.signal.aborted) {
      return err(createRefusal(REASONS.cancelled, { unusedAllowance }));
    }
    return await outbound.call(call, body, options);
  }

  /** Closes all connections; pending calls end with an unknown outcome. */
  close(): void {
    this.#current?.connection.close();
    this.#current = undefined;
    this.#replaced.forEach(({ connection }) => connection.close());
  }

  onSilent(outbound: OutboundConnection, silenceMs: number): void {
    if (this.#current !== outbound) {
      return;
    }
    this.#replaced.add(outbound);
    this.#current = undefined;
    this.#options.reportReplacement?.({
      address: this.#address.address,
      silenceMs,
      pendingCalls: outbound.pendingCalls,
    });
    this.#openIfNeeded();
  }

  onIdle(outbound: OutboundConnection): void {
    if (this.#replaced.has(outbound)) {
      outbound.connection.close();
    }
  }

  onClosed(outbound: OutboundConnection): void {
    this.#replaced.delete(outbound);
    this.#clearCurrent(outbound);
  }

  #isExpectedPeer(outbound: OutboundConnection): boolean {
    const { incarnation } = this.#address;
    return incarnation === undefined ||
      outbound.remoteIncarnation === incarnation;
  }

  #openIfNeeded(): OutboundConnection {
    if (this.#current && !this.#current.hasEnded) {
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

  #clearCurrent(outbound: OutboundConnection): void {
    if (this.#current === outbound) {
      this.#current = undefined;
    }
  }
}

function connectTo({ address, peerPort }: PeerAddress): Socket {
  return connect({ host: address, port: peerPort });
}
