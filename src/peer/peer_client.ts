/**
 * Client for calls to one peer daemon.
 *
 * The connection is opened on first use. When a heartbeat is not answered soon,
 * a second one is opened. If the second works while the first stays silent, the
 * first no longer delivers, since a paused peer would leave both silent. The
 * second then takes all new calls; calls pending on the old connection can still
 * complete there. Replies are matched by connection and by a call id that is
 * never reused on it, so that they cannot reach the wrong call.
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

/** Body and options of a call. */
interface CallParts {
  readonly body: Uint8Array;
  readonly options: PeerCallOptions;
}

/** Sends calls to one peer daemon. */
export class PeerClient implements OutboundConnectionListener {
  readonly #address: PeerAddress;
  readonly #options: PeerConnectionOptions;
  readonly #replaced = new Set<OutboundConnection>();
  #current: OutboundConnection | undefined;
  /** Second connection, opened while the current one is in doubt. */
  #spare: OutboundConnection | undefined;

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
  call(
    call: CallWithoutId,
    body: Uint8Array,
    options: PeerCallOptions,
  ): Promise<CallResult> {
    const outbound = this.#openIfNeeded();
    return outbound.connection.isReady
      ? this.#send(outbound, call, { body, options })
      : this.#sendWhenOpen(outbound, call, { body, options });
  }

  /** Finds out whether the connection still delivers, if nothing has been received on it for at least `idleMs` milliseconds. */
  prove(idleMs: number): void {
    this.#current?.connection.prove(idleMs);
  }

  /** Closes all connections; pending calls end with an unknown outcome. */
  close(): void {
    this.#current?.connection.close();
    this.#current = undefined;
    this.#closeSpare();
    this.#replaced.forEach(({ connection }) => connection.close());
  }

  onDoubt(outbound: OutboundConnection): boolean {
    if (this.#current !== outbound) {
      return false;
    }
    this.#spare ??= this.#open();
    return this.#isProof(this.#spare, outbound);
  }

  onDoubtEnded(outbound: OutboundConnection): void {
    if (this.#current === outbound) {
      this.#closeSpare();
    }
  }

  onSilent(outbound: OutboundConnection, silenceMs: number): void {
    if (this.#current !== outbound) {
      return;
    }
    const spare = this.#spare;
    const isProven = spare !== undefined && this.#isProof(spare, outbound);
    this.#replaced.add(outbound);
    this.#current = spare;
    this.#spare = undefined;
    this.#options.reportReplacement?.({
      address: this.#address.address,
      silenceMs,
      pendingCalls: outbound.pendingCalls,
      isProven,
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
    if (this.#spare === outbound) {
      this.#spare = undefined;
    }
  }

  async #sendWhenOpen(
    outbound: OutboundConnection,
    call: CallWithoutId,
    parts: CallParts,
  ): Promise<CallResult> {
    const { clock } = this.#options;
    const startedAtMs = clock.monotonicMs();
    if (!(await outbound.opened)) {
      this.#clearCurrent(outbound);
      const unusedAllowance = call.context.retryAllowance;
      return err(createRefusal(REASONS.connectFailed, { unusedAllowance }));
    }
    const waitedMs = clock.monotonicMs() - startedAtMs;
    const remainingMs = Math.max(0, call.context.remainingMs - waitedMs);
    const context = { ...call.context, remainingMs };
    return await this.#send(outbound, { ...call, context }, parts);
  }

  #send(
    outbound: OutboundConnection,
    call: CallWithoutId,
    { body, options }: CallParts,
  ): Promise<CallResult> {
    const reason = !this.#isExpectedPeer(outbound)
      ? REASONS.connectFailed
      : options.signal.aborted
      ? REASONS.cancelled
      : undefined;
    if (reason === undefined) {
      return outbound.call(call, body, options);
    }
    const unusedAllowance = call.context.retryAllowance;
    return Promise.resolve(err(createRefusal(reason, { unusedAllowance })));
  }

  /** Whether `spare` works and leads to the same process as `outbound`. */
  #isProof(spare: OutboundConnection, outbound: OutboundConnection): boolean {
    return spare.connection.isReady &&
      spare.remoteIncarnation === outbound.remoteIncarnation;
  }

  #closeSpare(): void {
    const spare = this.#spare;
    this.#spare = undefined;
    spare?.connection.close();
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
    this.#current = this.#open();
    return this.#current;
  }

  #open(): OutboundConnection {
    const dial = this.#options.dial ?? connectTo;
    return new OutboundConnection(dial(this.#address), this.#options, this);
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
