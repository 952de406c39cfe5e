/**
 * One connection that this daemon opened, with the calls that wait on it.
 */

import type { Socket } from "node:net";
import { err } from "neverthrow";
import type VError from "verror";
import type { CallSignal } from "../cancellation/mod.ts";
import { CONNECT_TIMEOUT_MS } from "../constants/mod.ts";
import type {
  CallMessage,
  HelloMessage,
  ReplyMessage,
} from "../generated/types.ts";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
  selectAbortReason,
} from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { convertReplyToResult } from "./convert_reply.ts";
import { PeerConnection } from "./peer_connection.ts";
import type {
  PeerConnectionHandler,
  PeerConnectionOptions,
} from "./peer_connection_handler.ts";

/** A call message before the connection numbers it. */
export type CallWithoutId = Omit<CallMessage, "callId" | "body">;

/** What became of the messages of one call. */
export interface CallProgress {
  /** Whether the call was handed to the connection. */
  isSent: boolean;
  /** Whether the peer's own reply gave the outcome. */
  isReplied: boolean;
}

/** Options of a call. */
export interface PeerCallOptions {
  /** Ends the wait; the peer is told to cancel. */
  readonly signal: CallSignal;
  /** Whether the wait ends at once when the connection falls silent, because the call can be made elsewhere. */
  readonly failsWhenSilent?: boolean;
  /** Told what became of the call's messages. */
  readonly progress?: CallProgress | undefined;
}

/** What a connection tells the client that opened it. */
export interface OutboundConnectionListener {
  onSilent(link: OutboundConnection, silenceMs: number): void;
  /** No call waits any more. */
  onIdle(link: OutboundConnection): void;
  onClosed(link: OutboundConnection): void;
}

interface PendingCall {
  readonly settle: (result: CallResult) => void;
  readonly failsWhenSilent: boolean;
  readonly progress: CallProgress | undefined;
}

/** Calls on one connection, numbered from 1 and never numbered twice. */
export class OutboundConnection implements PeerConnectionHandler {
  readonly link: PeerConnection;
  /** Whether the peer has proved who it is, once that is decided. */
  readonly opened: Promise<boolean>;
  readonly #listener: OutboundConnectionListener;
  readonly #pending = new Map<number, PendingCall>();
  #nextCallId = 1;
  #settleOpened: (isOpen: boolean) => void = () => undefined;
  remoteIncarnation = "";

  constructor(
    socket: Socket,
    options: PeerConnectionOptions,
    listener: OutboundConnectionListener,
  ) {
    this.#listener = listener;
    this.link = new PeerConnection(socket, this, options);
    this.opened = new Promise((resolve) => this.#settleOpened = resolve);
    const cancelTimeout = options.clock.schedule(
      CONNECT_TIMEOUT_MS,
      () => this.#giveUpOpening(),
    );
    void this.opened.then(cancelTimeout);
    void this.link.run();
  }

  /** Calls that wait for an outcome. */
  get pendingCalls(): number {
    return this.#pending.size;
  }

  /** Whether calls wait. */
  get hasActiveCalls(): boolean {
    return this.#pending.size > 0;
  }

  /** Whether the connection has been used up. */
  get isSpent(): boolean {
    return this.remoteIncarnation !== "" && !this.link.isReady;
  }

  onHello(hello: HelloMessage): void {
    this.remoteIncarnation = hello.incarnation;
    this.#settleOpened(true);
  }

  onReply(reply: ReplyMessage, body: Uint8Array): void {
    const trace = this.#pending.get(reply.callId)?.progress;
    if (trace) {
      trace.isReplied = true;
    }
    this.#settle(reply.callId, convertReplyToResult(reply, body));
  }

  onCall(): void {
    // Calls travel from the dialling side only.
  }

  onCancel(): void {
    // Cancellations travel from the dialling side only.
  }

  onSilent(silenceMs: number): void {
    this.#listener.onSilent(this, silenceMs);
    for (const [callId, { failsWhenSilent }] of this.#pending) {
      if (failsWhenSilent) {
        this.#abandon(callId, createUnknownOutcome(REASONS.connectionLost));
      }
    }
  }

  onClose(_error: VError | undefined): void {
    this.#settleOpened(false);
    for (const callId of this.#pending.keys()) {
      this.#settle(callId, err(createUnknownOutcome(REASONS.connectionLost)));
    }
    this.#listener.onClosed(this);
  }

  /** Sends a call and waits for its outcome. */
  call(
    call: CallWithoutId,
    body: Uint8Array,
    options: PeerCallOptions,
  ): Promise<CallResult> {
    const { signal, failsWhenSilent = false, progress: trace } = options;
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    if (!this.link.sendWithBody({ ...call, callId }, body)) {
      const unusedAllowance = call.context.retryAllowance;
      return Promise.resolve(
        err(createRefusal(REASONS.connectFailed, { unusedAllowance })),
      );
    }
    if (trace) {
      trace.isSent = true;
    }
    return new Promise((resolve) => {
      const abort = () =>
        this.#abandon(callId, createUnknownOutcome(selectAbortReason(signal)));
      const settle = (result: CallResult) => {
        signal.removeEventListener("abort", abort);
        resolve(result);
      };
      this.#pending.set(callId, { settle, failsWhenSilent, progress: trace });
      signal.addEventListener("abort", abort);
    });
  }

  #settle(callId: number, result: CallResult): void {
    const pending = this.#pending.get(callId);
    if (!pending) {
      return;
    }
    this.#pending.delete(callId);
    pending.settle(result);
    if (this.#pending.size === 0) {
      this.#listener.onIdle(this);
    }
  }

  #abandon(
    callId: number,
    failure: ReturnType<typeof createUnknownOutcome>,
  ): void {
    this.link.send({ kind: "cancel", callId });
    this.#settle(callId, err(failure));
  }

  #giveUpOpening(): void {
    if (!this.link.isReady) {
      this.link.close();
      this.#settleOpened(false);
    }
  }
}
