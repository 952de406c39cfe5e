/**
 * Writes frames to a socket.
 *
 * Small messages are written in order. Large bodies are split into chunks, which
 * are written in turns and only while the socket takes them, so that a small
 * message waits behind a few chunks at most. A body is sent as far as the peer
 * has granted; one that the peer has no memory for holds up no other.
 */

import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import process from "node:process";
import { CHUNK_BYTES } from "../constants/mod.ts";
import type {
  CallMessage,
  PeerMessage,
  ReplyMessage,
} from "../generated/types.ts";
import { encodeFrame } from "./encode_frame.ts";

/** Called for each frame with its message and its size in bytes. */
export type RecordSent = (message: PeerMessage, bytes: number) => void;

/** A body that is being sent. */
interface OutgoingBody {
  readonly callId: number;
  readonly isReply: boolean;
  readonly body: Uint8Array;
  offsetBytes: number;
  /** Offset up to which the peer accepts the body. */
  grantedBytes: number;
  readonly finish: () => void;
}

/** Options of {@link FrameWriter.sendWithBody}. */
export interface SendBodyOptions {
  /** Offset up to which the peer accepts the body without a grant. */
  readonly grantedBytes: number;
}

/** Writes messages to one socket. */
export class FrameWriter {
  readonly #socket: Socket;
  readonly #recordSent: RecordSent;
  /** Bodies that are being sent, by call id, in the order of their turns. */
  readonly #bodies = new Map<number, OutgoingBody>();
  /** Frames of this turn of the event loop, and what to call when they are written. */
  #frames: Buffer[] = [];
  #listeners: (() => void)[] = [];
  #isFlushScheduled = false;
  #isAwaitingDrain = false;

  constructor(socket: Socket, recordSent: RecordSent = () => undefined) {
    this.#socket = socket;
    this.#recordSent = recordSent;
    socket.on("drain", () => {
      this.#isAwaitingDrain = false;
      this.#sendChunks();
    });
    socket.on("close", () => this.#dropAll());
  }

  /** Whether anything is queued that has not been written yet. */
  get hasQueued(): boolean {
    return this.#socket.writableLength > 0 || this.#frames.length > 0 ||
      this.#bodies.size > 0;
  }

  /** Writes a message as one frame; calls `onWritten` when the system has taken it, or when the socket is closed. */
  send(message: PeerMessage, onWritten?: () => void): void {
    if (this.#socket.destroyed || this.#socket.writableEnded) {
      onWritten?.();
      return;
    }
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      process.nextTick(() => {
        this.#isFlushScheduled = false;
        this.#flush();
      });
    }
    const frame = encodeFrame(message);
    this.#frames.push(frame);
    if (onWritten) {
      this.#listeners.push(onWritten);
    }
    this.#recordSent(message, frame.length);
  }

  /**
   * Writes a message and its body, inline if it fits into one chunk, otherwise
   * in chunks. An inline body is added to the message itself, since copies of it
   * would be made for every call. Resolves when the body no longer needs to be
   * held.
   */
  sendWithBody(
    head: CallMessage | ReplyMessage,
    body: Uint8Array,
    { grantedBytes }: SendBodyOptions,
  ): Promise<void> {
    if (body.length <= CHUNK_BYTES) {
      head.body = body;
      return new Promise((resolve) => this.send(head, resolve));
    }
    this.send(head);
    const { callId } = head;
    return new Promise((resolve) => {
      this.#bodies.set(callId, {
        ...{ callId, body, grantedBytes, offsetBytes: 0, finish: resolve },
        isReply: head.kind === "reply",
      });
      this.#sendChunks();
    });
  }

  /** Sends the body of a call as far as `grantedBytes`, counted from its start. */
  grant(callId: number, grantedBytes: number): void {
    const outgoing = this.#bodies.get(callId);
    if (outgoing) {
      outgoing.grantedBytes = Math.max(outgoing.grantedBytes, grantedBytes);
      this.#sendChunks();
    }
  }

  /** Sends all bodies without waiting for grants, as the peer gives none. */
  grantAll(): void {
    for (const outgoing of this.#bodies.values()) {
      outgoing.grantedBytes = outgoing.body.length;
    }
    this.#sendChunks();
  }

  /** Stops sending the body of a call. */
  dropBody(callId: number): void {
    const outgoing = this.#bodies.get(callId);
    this.#bodies.delete(callId);
    outgoing?.finish();
  }

  /** Writes the frames of one turn of the event loop together. */
  #flush(): void {
    const [first] = this.#frames;
    if (!first) {
      return;
    }
    const bytes = this.#frames.length === 1
      ? first
      : Buffer.concat(this.#frames);
    const listeners = this.#listeners;
    this.#frames = [];
    this.#listeners = [];
    if (listeners.length === 0) {
      this.#socket.write(bytes);
    } else {
      // Node.js calls this also if the socket is closed or fails.
      this.#socket.write(
        bytes,
        () => listeners.forEach((listener) => listener()),
      );
    }
  }

  #sendChunks(): void {
    while (!this.#isAwaitingDrain && !this.#socket.destroyed) {
      const outgoing = this.#takeNext();
      if (!outgoing) {
        return;
      }
      this.#sendChunk(outgoing);
      this.#isAwaitingDrain = this.#socket.writableNeedDrain;
    }
  }

  /** Moves the next body that may be sent to the end of the turns. */
  #takeNext(): OutgoingBody | undefined {
    for (const outgoing of this.#bodies.values()) {
      if (outgoing.offsetBytes < outgoing.grantedBytes) {
        this.#bodies.delete(outgoing.callId);
        this.#bodies.set(outgoing.callId, outgoing);
        return outgoing;
      }
    }
    return undefined;
  }

  #sendChunk(outgoing: OutgoingBody): void {
    const { callId, isReply, body, offsetBytes, grantedBytes } = outgoing;
    const endBytes = Math.min(offsetBytes + CHUNK_BYTES, grantedBytes);
    const part = body.subarray(offsetBytes, endBytes);
    this.send({ kind: "chunk", callId, isReply, offsetBytes, body: part });
    this.#flush(); // Whether the socket takes more is known only then.
    outgoing.offsetBytes += part.length;
    if (outgoing.offsetBytes === body.length) {
      this.dropBody(callId);
    }
  }

  #dropAll(): void {
    for (const callId of [...this.#bodies.keys()]) {
      this.dropBody(callId);
    }
  }
}
