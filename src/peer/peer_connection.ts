/**
 * A TCP connection between two daemons.
 *
 * It exchanges hellos to authenticate the peer, sends and answers heartbeats,
 * reassembles bodies, and passes all other messages to its handler. Bodies in
 * chunks follow grants of the receiver, unless one side is of an older build
 * that knows none (see `grant_support.ts`).
 */

import type { Socket } from "node:net";
import type { Buffer } from "node:buffer";
import VError from "verror";
import {
  HEARTBEAT_DOUBT_MS,
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_SUSPECT_MS,
  HEARTBEAT_TIMEOUT_MS,
  IDLE_HEARTBEAT_INTERVAL_MS,
  PROTOCOL_VERSION,
} from "../constants/mod.ts";
import type { CallMessage, PeerMessage } from "../generated/types.ts";
import { FrameDecoder } from "./frame_decoder.ts";
import { FrameWriter } from "./frame_writer.ts";
import {
  extractGrantNote,
  GrantSupport,
  withGrantNote,
} from "./grant_support.ts";
import { HeartbeatMonitor } from "./heartbeat_monitor.ts";
import { IncomingBodies } from "./incoming_bodies.ts";
import type { MessageWithBody } from "./incoming_bodies.ts";
import type {
  PeerConnectionHandler,
  PeerConnectionOptions,
} from "./peer_connection_handler.ts";
import { checkHello } from "./check_hello.ts";
import { createIdentityProof } from "./identity_proof.ts";

/** Time for a peer to close a connection that was ended on this side, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Interval at which a closing connection checks its send queue, in milliseconds. */
const FLUSH_POLL_MS = 5;

const EMPTY_BODY = new Uint8Array(0);

/** A connection to a peer, opened by either side. */
export class PeerConnection {
  readonly #socket: Socket;
  readonly #handler: PeerConnectionHandler;
  readonly #options: PeerConnectionOptions;
  readonly #incoming: IncomingBodies;
  readonly #grants: GrantSupport;
  readonly #heartbeatMonitor: HeartbeatMonitor;
  readonly #writer: FrameWriter;
  #hasReceivedHello = false;
  #peerDomain = "";
  #hasReportedSilence = false;
  #isDoubted = false;
  #heartbeatSequence = 0;
  #error: VError | undefined;
  #isEnding = false;
  #isClosed = false;

  constructor(
    socket: Socket,
    handler: PeerConnectionHandler,
    options: PeerConnectionOptions,
  ) {
    this.#socket = socket;
    this.#handler = handler;
    this.#options = options;
    this.#heartbeatMonitor = new HeartbeatMonitor(
      options.clock,
      HEARTBEAT_INTERVAL_MS,
    );
    this.#writer = new FrameWriter(
      socket,
      (message, bytes) => this.#recordSent(message, bytes),
    );
    this.#grants = new GrantSupport(options.clock, this.#writer);
    this.#incoming = new IncomingBodies({
      reserve: (head) =>
        handler.reserveBody(head, { isPaced: this.#grants.isSupported }),
      grant: ({ callId, bodyLengthBytes }) => {
        if (this.#grants.isSupported) {
          this.send({ kind: "grant", callId, grantedBytes: bodyLengthBytes });
        }
      },
      reject: ({ kind, callId }) => {
        // The receiver of a call says why it rejects the body in its reply.
        if (kind === "reply") {
          this.send({ kind: "cancel", callId });
        }
      },
      deliver: (head, body) => this.#deliver(head, body),
    });
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
  }

  /** Whether the peer is authenticated and the connection is open. */
  get isReady(): boolean {
    return this.#hasReceivedHello && !this.#isClosed;
  }

  /** Runs the connection until it is closed, then notifies the handler. */
  async run(): Promise<void> {
    this.#sendHello();
    const stopHeartbeats = this.#scheduleHeartbeats();
    await this.#readUntilEnd();
    stopHeartbeats();
    this.#isClosed = true;
    this.#incoming.clear();
    this.#grants.close();
    this.#socket.destroy();
    this.#handler.onClose(this.#error);
  }

  /** Uses the shared timer if there is one, since separate timers would wake the process once for each connection. */
  #scheduleHeartbeats(): () => void {
    const { clock, heartbeatTimer } = this.#options;
    const checkHeartbeat = () => this.#checkHeartbeat();
    return heartbeatTimer?.add(checkHeartbeat) ??
      clock.scheduleEvery(HEARTBEAT_INTERVAL_MS, checkHeartbeat);
  }

  /** Reads via data events, which cost a fraction of async iteration over the socket. */
  #readUntilEnd(): Promise<void> {
    const decoder = new FrameDecoder();
    return new Promise((resolve) => {
      this.#socket.on("data", (bytes: Buffer) => {
        this.#recordReceived();
        if (!this.#handleData(decoder, bytes)) {
          resolve();
        }
      });
      this.#socket.once("error", (cause) => {
        this.#error ??= new VError(
          { name: "ConnectionFailed", cause },
          "peer connection failed",
        );
      });
      this.#socket.once("end", resolve);
      this.#socket.once("close", () => resolve());
    });
  }

  /** Closes the connection immediately; `error`, if given, is reported to the handler. */
  close(error?: VError): void {
    this.#error ??= error;
    this.#socket.destroy();
  }

  /**
   * Closes the connection once the peer has read the queued messages and closes
   * it. The peer has the given time to take them, in milliseconds, and then a
   * second to close. What it sends in this second is discarded.
   */
  async closeGracefully(flushTimeoutMs: number): Promise<void> {
    const { clock } = this.#options;
    const endAtMs = clock.monotonicMs() + flushTimeoutMs;
    const isOver = () => clock.monotonicMs() >= endAtMs;
    while (this.#writer.hasQueued && !this.#socket.destroyed && !isOver()) {
      await clock.sleep(FLUSH_POLL_MS);
    }
    if (!this.#socket.destroyed) {
      this.#isEnding = true;
      const closed = new Promise<void>((resolve) =>
        this.#socket.once("close", () => resolve())
      );
      const cancelClose = clock.schedule(CLOSE_TIMEOUT_MS, () => this.close());
      this.#socket.end();
      await closed;
      cancelClose();
    }
  }

  /**
   * Sends a call or reply with its body. Returns undefined, with nothing sent, if
   * the connection is closed; otherwise a promise that resolves when the body no
   * longer needs to be held.
   */
  sendWithBody(
    head: MessageWithBody,
    body: Uint8Array,
  ): Promise<void> | undefined {
    if (this.#isClosed || this.#socket.destroyed) {
      return undefined;
    }
    if (head.kind === "reply") {
      return this.#writer.sendWithBody(head, body, {
        grantedBytes: this.#grants.isSupported ? 0 : body.length,
      });
    }
    const isFirst = this.#grants.isUnknown;
    const sent = this.#writer.sendWithBody(
      isFirst ? withGrantNote(head) : head,
      body,
      { grantedBytes: this.#grants.isRefused ? body.length : 0 },
    );
    if (isFirst) {
      this.#grants.awaitAnswer();
    }
    return sent;
  }

  /** Tells the peer that a call has been given up, and drops what is left of its bodies. */
  cancelCall(callId: number): void {
    this.dropBodies(callId);
    this.send({ kind: "cancel", callId });
  }

  /** Drops what is left of the bodies of a call, without telling the peer. */
  dropBodies(callId: number): void {
    this.#writer.dropBody(callId);
    this.#incoming.discard("reply", callId);
  }

  /** Sends a message without a separate body. */
  send(message: PeerMessage): void {
    this.#writer.send(message);
  }

  /** Sends a heartbeat if nothing has been received for at least `idleMs` milliseconds, to find out whether the connection still delivers. */
  prove(idleMs: number): void {
    if (
      this.isReady && !this.#heartbeatMonitor.isAwaitingReply &&
      this.#heartbeatMonitor.idleMs >= idleMs
    ) {
      this.#sendHeartbeat();
    }
  }

  #recordSent(message: PeerMessage, bytes: number): void {
    const { kind } = message;
    const purpose = kind === "chunk" && message.isReply ? "reply" : kind;
    this.#options.sentBytes?.record(purpose, this.#peerDomain, bytes);
  }

  #sendHello(): void {
    const { incarnation, failureDomain, fleetToken } = this.#options.identity;
    const proof = createIdentityProof(fleetToken, incarnation);
    this.send({
      kind: "hello",
      protocolVersion: PROTOCOL_VERSION,
      incarnation,
      failureDomain,
      proof,
    });
  }

  #checkHeartbeat(): void {
    this.#heartbeatMonitor.tick();
    const { silenceMs } = this.#heartbeatMonitor;
    if (silenceMs > HEARTBEAT_TIMEOUT_MS) {
      this.close(createSilenceError(silenceMs));
      return;
    }
    const isProvenSilent = this.#doubt(silenceMs);
    if (
      (isProvenSilent || silenceMs >= HEARTBEAT_SUSPECT_MS) &&
      !this.#hasReportedSilence
    ) {
      this.#hasReportedSilence = true;
      this.#handler.onSilent(silenceMs);
    }
    const dueMs = this.#handler.hasActiveCalls
      ? HEARTBEAT_INTERVAL_MS
      : IDLE_HEARTBEAT_INTERVAL_MS;
    const isDue = this.#heartbeatMonitor.idleMs >= dueMs;
    if (isDue && !this.#heartbeatMonitor.isAwaitingReply) {
      this.#sendHeartbeat();
    }
  }

  /** Whether the connection is proven not to deliver. */
  #doubt(silenceMs: number): boolean {
    if (silenceMs < HEARTBEAT_DOUBT_MS || this.#hasReportedSilence) {
      return false;
    }
    this.#isDoubted = true;
    return this.#handler.onDoubt?.() ?? false;
  }

  #recordReceived(): void {
    this.#heartbeatMonitor.recordReceived();
    if (this.#isDoubted) {
      this.#isDoubted = false;
      this.#handler.onDoubtEnded?.();
    }
  }

  #sendHeartbeat(): void {
    this.#heartbeatSequence += 1;
    this.send({
      kind: "heartbeat",
      isReply: false,
      sequence: this.#heartbeatSequence,
    });
    this.#heartbeatMonitor.recordHeartbeatSent();
  }

  #handleData(decoder: FrameDecoder, bytes: Buffer): boolean {
    if (this.#isEnding) {
      return true;
    }
    const messages = decoder.push(bytes);
    if (messages.isErr()) {
      this.#error = messages.error;
      return false;
    }
    return messages.value.every((message) => this.#handleMessage(message));
  }

  #handleMessage(message: PeerMessage): boolean {
    if (!this.#hasReceivedHello) {
      return this.#handleHello(message);
    }
    switch (message.kind) {
      case "hello":
        return this.#fail("MessageInvalid", "unexpected second hello");
      case "heartbeat":
        this.#handleHeartbeat(message.isReply, message.sequence);
        return true;
      case "cancel":
        this.#writer.dropBody(message.callId);
        this.#incoming.discard("call", message.callId);
        this.#handler.onCancel(message.callId);
        return true;
      case "grant":
        this.#grants.recordSupport();
        this.#writer.grant(message.callId, message.grantedBytes);
        return true;
      case "configuration-fetch":
      case "configuration-part":
        this.#handler.onConfiguration?.(message);
        return true;
      case "call":
        return this.#handleCallHead(message);
      case "reply":
        // The peer has decided without the rest of the call's body.
        this.#writer.dropBody(message.callId);
        return this.#handleMessageHead(message);
      case "chunk":
        return this.#incoming.add({
          ...message,
          body: message.body as Uint8Array,
        }) || this.#fail("MessageInvalid", "unexpected or out-of-order chunk");
    }
  }

  #handleHello(message: PeerMessage): boolean {
    const hello = checkHello(message, this.#options.identity.fleetToken);
    if (hello.isErr()) {
      this.#error = hello.error;
      return false;
    }
    this.#hasReceivedHello = true;
    this.#peerDomain = hello.value.failureDomain;
    this.#handler.onHello(hello.value);
    return true;
  }

  #handleHeartbeat(isReply: boolean, sequence: number): void {
    if (!isReply) {
      this.send({ kind: "heartbeat", isReply: true, sequence });
    }
  }

  #handleCallHead(message: CallMessage): boolean {
    const { head, hasNote } = extractGrantNote(message);
    if (hasNote && !this.#grants.isSupported) {
      this.#grants.recordSupport();
      this.send({ kind: "grant", callId: 0, grantedBytes: 0 });
    }
    return this.#handleMessageHead(head);
  }

  #handleMessageHead(head: MessageWithBody): boolean {
    const inline = head.body;
    if (inline && inline.length !== head.bodyLengthBytes) {
      return this.#fail(
        "MessageInvalid",
        "body length does not match the message head",
      );
    }
    if (inline || head.bodyLengthBytes === 0) {
      this.#deliver(head, inline ?? EMPTY_BODY);
    } else {
      this.#incoming.begin(head);
    }
    return true;
  }

  #deliver(head: MessageWithBody, body: Uint8Array): void {
    if (head.kind === "call") {
      this.#handler.onCall(head, body);
      return;
    }
    this.#handler.onReply(head, body);
  }

  #fail(name: string, message: string): false {
    this.#error = new VError({ name }, "%s", message);
    return false;
  }
}

function createSilenceError(silenceMs: number): VError {
  return new VError(
    { name: "ConnectionSilent" },
    "heartbeat unanswered for %d ms",
    Math.round(silenceMs),
  );
}
