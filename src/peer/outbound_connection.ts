/**
 * A connection that this daemon opened to a peer, with its pending calls.
 */

import type { Socket } from "node:net";
import { err } from "neverthrow";
import type VError from "verror";
import type { CallSignal } from "../cancellation/mod.ts";
import { RESPONSE_RANK } from "../memory/mod.ts";
import type { HeldMemory } from "../memory/mod.ts";
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
import type { Clock } from "../time/mod.ts";
import { convertReplyToResult } from "./convert_reply.ts";
import { PeerConnection } from "./peer_connection.ts";
import type {
  PeerConnectionHandler,
  PeerConnectionOptions,
} from "./peer_connection_handler.ts";
import { SENT_AFTER_NOTE } from "./transit_timer.ts";

/** A call message before the connection assigns its id. */
export type CallWithoutId = Omit<CallMessage, "callId" | "body">;

/** Delivery progress of a call. */
export interface CallProgress {
  /** Whether the call was queued on the connection, so that the peer may have received it. */
  isSent: boolean;
  /** Whether the outcome comes from a reply of the peer. */
  isReplied: boolean;
}

/** Options of a call. */
export interface PeerCallOptions {
  /** Stops waiting when aborted, and tells the peer to cancel the call. */
  readonly signal: CallSignal;
  /** Whether the call fails as soon as the connection becomes silent, because it can be retried at another instance. */
  readonly failsWhenSilent?: boolean;
  /** Memory that the call holds; a reply's body counts against it. */
  readonly memory?: HeldMemory | undefined;
  /** Updated as the call is sent and replied to. */
  readonly progress?: CallProgress | undefined;
}

/** Receives the events of an outbound connection. */
export interface OutboundConnectionListener {
  /** A heartbeat has been unanswered for a short time; returns whether another connection to the same process works. */
  onDoubt(connection: OutboundConnection): boolean;
  /** The peer has answered after all. */
  onDoubtEnded(connection: OutboundConnection): void;
  /** A heartbeat has been unanswered for `silenceMs` milliseconds; the connection stays open for now. */
  onSilent(connection: OutboundConnection, silenceMs: number): void;
  /** The last pending call has ended. */
  onIdle(connection: OutboundConnection): void;
  /** The connection has been closed. */
  onClosed(connection: OutboundConnection): void;
}

interface PendingCall {
  readonly settle: (result: CallResult) => void;
  readonly failsWhenSilent: boolean;
  readonly isRepeatable: boolean;
  readonly progress: CallProgress | undefined;
  readonly memory: HeldMemory | undefined;
  readonly signal: CallSignal;
}

/** Sends calls on one connection, with ids that start at 1 and are never reused. */
export class OutboundConnection implements PeerConnectionHandler {
  readonly connection: PeerConnection;
  /** Resolves to whether the peer was authenticated within the connect timeout. */
  readonly opened: Promise<boolean>;
  readonly #listener: OutboundConnectionListener;
  readonly #clock: Clock;
  readonly #pending = new Map<number, PendingCall>();
  #nextCallId = 1;
  #helloAtMs = 0;
  #resolveOpened: (isOpen: boolean) => void = () => undefined;
  /** Incarnation of the peer; empty until its hello has been received. */
  remoteIncarnation = "";

  constructor(
    socket: Socket,
    options: PeerConnectionOptions,
    listener: OutboundConnectionListener,
  ) {
    this.#listener = listener;
    this.#clock = options.clock;
    this.connection = new PeerConnection(socket, this, options);
    this.opened = new Promise((resolve) => this.#resolveOpened = resolve);
    const cancelConnectTimeout = options.clock.schedule(
      CONNECT_TIMEOUT_MS,
      () => this.#handleConnectTimeout(),
    );
    void this.opened.then(cancelConnectTimeout);
    void this.connection.run();
  }

  /** Number of calls without an outcome. */
  get pendingCalls(): number {
    return this.#pending.size;
  }

  /** Whether any call has no outcome yet. */
  get hasActiveCalls(): boolean {
    return this.#pending.size > 0;
  }

  /** Whether the connection was established and has since been closed. */
  get hasEnded(): boolean {
    return this.remoteIncarnation !== "" && !this.connection.isReady;
  }

  onHello(hello: HelloMessage): void {
    this.#helloAtMs = this.#clock.monotonicMs();
    this.remoteIncarnation = hello.incarnation;
    this.#resolveOpened(true);
  }

  async reserveBody(
    { callId, bodyLengthBytes }: CallMessage | ReplyMessage,
    { isPaced }: { readonly isPaced: boolean },
  ): Promise<boolean> {
    const { memory, signal } = this.#pending.get(callId) ?? {};
    if (!signal) {
      return false;
    }
    memory?.reportResponseLength(bodyLengthBytes);
    if (!isPaced) {
      memory?.force(bodyLengthBytes);
    }
    return !isPaced ||
      (await memory?.reserve(bodyLengthBytes, {
        signal,
        classRank: RESPONSE_RANK,
      }) ?? true);
  }

  onReply(reply: ReplyMessage, body: Uint8Array): void {
    const progress = this.#pending.get(reply.callId)?.progress;
    if (progress) {
      progress.isReplied = true;
    }
    this.#settle(reply.callId, convertReplyToResult(reply, body));
  }

  onCall(): void {
    // Calls are only sent by the side that opened the connection.
  }

  onCancel(): void {
    // Cancellations are only sent by the side that opened the connection.
  }

  onDoubt(): boolean {
    return this.#listener.onDoubt(this);
  }

  onDoubtEnded(): void {
    this.#listener.onDoubtEnded(this);
  }

  onSilent(silenceMs: number): void {
    this.#listener.onSilent(this, silenceMs);
    const lost = createUnknownOutcome(REASONS.connectionLost);
    for (const [callId, pending] of this.#pending) {
      if (pending.failsWhenSilent && pending.isRepeatable) {
        this.#cancelCall(callId, lost);
      } else if (pending.failsWhenSilent) {
        // Its outcome is queried on another connection, so it may go on.
        this.connection.dropBodies(callId);
        this.#settle(callId, err(lost));
      }
    }
  }

  onClose(_error: VError | undefined): void {
    this.#resolveOpened(false);
    for (const callId of this.#pending.keys()) {
      this.#settle(callId, err(createUnknownOutcome(REASONS.connectionLost)));
    }
    this.#listener.onClosed(this);
  }

  /** Sends a call and waits for its outcome; refused if the connection is closed. */
  call(
    call: CallWithoutId,
    body: Uint8Array,
    options: PeerCallOptions,
  ): Promise<CallResult> {
    const { signal, failsWhenSilent = false, progress, memory } = options;
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const sentAfterMs = this.#clock.monotonicMs() - this.#helloAtMs;
    const headers = call.headers?.slice() ?? [];
    headers.push(SENT_AFTER_NOTE, String(Math.round(sentAfterMs)));
    const sent = this.connection.sendWithBody(
      { ...call, headers, callId },
      body,
    );
    if (!sent) {
      const unusedAllowance = call.context.retryAllowance;
      return Promise.resolve(
        err(createRefusal(REASONS.connectFailed, { unusedAllowance })),
      );
    }
    if (progress) {
      progress.isSent = true;
    }
    return new Promise((resolve) => {
      const abort = () =>
        this.#cancelCall(
          callId,
          createUnknownOutcome(selectAbortReason(signal)),
        );
      const settle = (result: CallResult) => {
        signal.removeEventListener("abort", abort);
        resolve(result);
      };
      this.#pending.set(callId, {
        settle,
        failsWhenSilent,
        isRepeatable: call.context.isRepeatable,
        progress,
        memory,
        signal,
      });
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

  #cancelCall(
    callId: number,
    failure: ReturnType<typeof createUnknownOutcome>,
  ): void {
    this.connection.cancelCall(callId);
    this.#settle(callId, err(failure));
  }

  #handleConnectTimeout(): void {
    if (!this.connection.isReady) {
      this.connection.close();
      this.#resolveOpened(false);
    }
  }
}
