/**
 * One framed TCP connection between two daemons.
 *
 * Each connection is served by one async task that reads frames, checks the
 * hello, answers heartbeats and hands everything else to its owner.
 */

import type { Socket } from "node:net";
import type { Buffer } from "node:buffer";
import VError from "verror";
import {
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_SUSPECT_MS,
  HEARTBEAT_TIMEOUT_MS,
  IDLE_HEARTBEAT_INTERVAL_MS,
  PROTOCOL_VERSION,
} from "../constants/mod.ts";
import type {
  CallMessage,
  PeerMessage,
  ReplyMessage,
} from "../generated/types.ts";
import { BodyAssembler } from "./body_assembler.ts";
import { FrameDecoder } from "./frame_decoder.ts";
import { FrameWriter } from "./frame_writer.ts";
import { HeartbeatMonitor } from "./heartbeat_monitor.ts";
import type {
  PeerConnectionHandler,
  PeerConnectionOptions,
} from "./peer_connection_handler.ts";
import { checkHello } from "./check_hello.ts";
import { createIdentityProof } from "./identity_proof.ts";

type Headed = CallMessage | ReplyMessage;

interface PartialBody {
  readonly head: Headed;
  readonly assembler: BodyAssembler;
}

/** Longest wait for what was sent to leave at a planned stop, in milliseconds. */
const FLUSH_TIMEOUT_MS = 1_000;

/** Interval at which a connection that ends checks what is left to send, in milliseconds. */
const FLUSH_POLL_MS = 5;

const EMPTY_BODY = new Uint8Array(0);

/** A connection to one peer. */
export class PeerConnection {
  readonly #socket: Socket;
  readonly #owner: PeerConnectionHandler;
  readonly #options: PeerConnectionOptions;
  readonly #partialBodies = new Map<string, PartialBody>();
  readonly #silence: HeartbeatMonitor;
  readonly #writer: FrameWriter;
  #isGreeted = false;
  #isReportedSilent = false;
  #heartbeatSequence = 0;
  #error: VError | undefined;
  #isClosed = false;

  constructor(
    socket: Socket,
    owner: PeerConnectionHandler,
    options: PeerConnectionOptions,
  ) {
    this.#socket = socket;
    this.#owner = owner;
    this.#options = options;
    this.#silence = new HeartbeatMonitor(options.clock, HEARTBEAT_INTERVAL_MS);
    this.#writer = new FrameWriter(socket);
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
  }

  /** Whether the peer has proved who it is and the link is open. */
  get isReady(): boolean {
    return this.#isGreeted && !this.#isClosed;
  }

  /** Serves the connection until it ends. */
  async run(): Promise<void> {
    this.#sendHello();
    const stopHeartbeats = this.#scheduleHeartbeats();
    await this.#readUntilEnd();
    stopHeartbeats();
    this.#isClosed = true;
    this.#socket.destroy();
    this.#owner.onClose(this.#error);
  }

  /** Links of one daemon share a timer, since each of its own would wake the process apart. */
  #scheduleHeartbeats(): () => void {
    const { clock, heartbeatTimer: ticker } = this.#options;
    const beat = () => this.#beat();
    return ticker?.add(beat) ??
      clock.scheduleEvery(HEARTBEAT_INTERVAL_MS, beat);
  }

  /** Takes bytes as events, which costs a fraction of iterating over the socket. */
  #readUntilEnd(): Promise<void> {
    const decoder = new FrameDecoder();
    return new Promise((resolve) => {
      this.#socket.on("data", (bytes: Buffer) => {
        this.#silence.noteHeard();
        if (!this.#takeBytes(decoder, bytes)) {
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

  /** Ends the connection. */
  close(error?: VError): void {
    this.#error ??= error;
    this.#socket.destroy();
  }

  /** Ends the connection once everything sent has left. */
  async closeGracefully(): Promise<void> {
    const { clock } = this.#options;
    const cancelClose = clock.schedule(FLUSH_TIMEOUT_MS, () => this.close());
    while (this.#writer.queuedBytes > 0 && !this.#socket.destroyed) {
      await clock.sleep(FLUSH_POLL_MS);
    }
    await new Promise<void>((resolve) => this.#socket.end(() => resolve()));
    cancelClose();
    this.close();
  }

  /** Sends a call or a reply with its body; false when nothing was sent. */
  sendWithBody(head: Headed, body: Uint8Array): boolean {
    if (
      this.#isClosed || this.#socket.destroyed ||
      !this.#writer.canQueue(body.length)
    ) {
      return false;
    }
    this.#writer.sendWithBody(head, body);
    return true;
  }

  /** Sends one message. */
  send(message: PeerMessage): void {
    this.#writer.send(message);
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

  #beat(): void {
    this.#silence.tick();
    const { silenceMs } = this.#silence;
    if (silenceMs > HEARTBEAT_TIMEOUT_MS) {
      this.close(createSilenceError(silenceMs));
      return;
    }
    if (silenceMs >= HEARTBEAT_SUSPECT_MS && !this.#isReportedSilent) {
      this.#isReportedSilent = true;
      this.#owner.onSilent(silenceMs);
    }
    const dueMs = this.#owner.hasActiveCalls
      ? HEARTBEAT_INTERVAL_MS
      : IDLE_HEARTBEAT_INTERVAL_MS;
    const isDue = this.#silence.idleMs >= dueMs;
    if (isDue && !this.#silence.isAsked) {
      this.#ask();
    }
  }

  #ask(): void {
    this.#heartbeatSequence += 1;
    this.send({
      kind: "heartbeat",
      isReply: false,
      sequence: this.#heartbeatSequence,
    });
    this.#silence.noteAsked();
  }

  #takeBytes(decoder: FrameDecoder, bytes: Buffer): boolean {
    const messages = decoder.push(bytes);
    if (messages.isErr()) {
      this.#error = messages.error;
      return false;
    }
    return messages.value.every((message) => this.#takeMessage(message));
  }

  #takeMessage(message: PeerMessage): boolean {
    if (!this.#isGreeted) {
      return this.#takeHello(message);
    }
    switch (message.kind) {
      case "hello":
        return this.#fail("MessageInvalid", "second hello");
      case "heartbeat":
        this.#takeHeartbeat(message.isReply, message.sequence);
        return true;
      case "cancel":
        this.#owner.onCancel(message.callId);
        return true;
      case "configuration-fetch":
      case "configuration-part":
        this.#owner.onConfiguration?.(message);
        return true;
      case "call":
      case "reply":
        return this.#takeHead(message);
      case "chunk":
        return this.#takeChunk(message.callId, message.isReply, {
          offsetBytes: message.offsetBytes,
          part: message.body as Uint8Array,
        });
    }
  }

  #takeHello(message: PeerMessage): boolean {
    const hello = checkHello(message, this.#options.identity.fleetToken);
    if (hello.isErr()) {
      this.#error = hello.error;
      return false;
    }
    this.#isGreeted = true;
    this.#owner.onHello(hello.value);
    return true;
  }

  #takeHeartbeat(isReply: boolean, sequence: number): void {
    if (!isReply) {
      this.send({ kind: "heartbeat", isReply: true, sequence });
    }
  }

  #takeHead(head: Headed): boolean {
    const { body, ...rest } = head;
    if (head.bodyLengthBytes > this.#options.maxBodyBytes) {
      return this.#fail(
        "BodyTooLarge",
        `body of ${head.bodyLengthBytes} bytes`,
      );
    }
    const inline = body as Uint8Array | undefined;
    if (inline && inline.length !== head.bodyLengthBytes) {
      return this.#fail("MessageInvalid", "body length does not match");
    }
    if (inline || head.bodyLengthBytes === 0) {
      this.#deliver(rest as Headed, inline ?? EMPTY_BODY);
      return true;
    }
    const assembler = new BodyAssembler(head.bodyLengthBytes);
    this.#partialBodies.set(`${head.kind}/${head.callId}`, {
      head: rest as Headed,
      assembler,
    });
    return true;
  }

  #takeChunk(
    callId: number,
    isReply: boolean,
    chunk: { offsetBytes: number; part: Uint8Array },
  ): boolean {
    const id = `${isReply ? "reply" : "call"}/${callId}`;
    const partial = this.#partialBodies.get(id);
    if (!partial || !partial.assembler.add(chunk.offsetBytes, chunk.part)) {
      return this.#fail("MessageInvalid", "chunk out of order");
    }
    if (partial.assembler.isWhole) {
      this.#partialBodies.delete(id);
      this.#deliver(partial.head, partial.assembler.concatenate());
    }
    return true;
  }

  #deliver(head: Headed, body: Uint8Array): void {
    if (head.kind === "call") {
      this.#owner.onCall(head, body);
      return;
    }
    this.#owner.onReply(head, body);
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
