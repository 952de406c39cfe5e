/**
 * Writes frames to a socket, in order.
 *
 * Large bodies are split into chunks. The chunks of concurrent bodies are
 * interleaved, so that a small message does not wait behind a large one.
 */

import type { Socket } from "node:net";
import process from "node:process";
import { CHUNK_BYTES } from "../constants/mod.ts";
import type {
  CallMessage,
  PeerMessage,
  ReplyMessage,
} from "../generated/types.ts";
import { encodeFrame } from "./encode_frame.ts";

/** Limit of the bytes queued for one peer. */
const MAX_QUEUED_BYTES = 33_554_432;

/** Called for each frame with its message and its size in bytes. */
export type RecordSent = (message: PeerMessage, bytes: number) => void;

/** Writes messages to one socket, with a bounded queue. */
export class FrameWriter {
  readonly #socket: Socket;
  readonly #recordSent: RecordSent;
  #pendingBodyBytes = 0;
  #isCorked = false;
  #drained: Promise<void> | undefined;

  constructor(socket: Socket, recordSent: RecordSent = () => undefined) {
    this.#socket = socket;
    this.#recordSent = recordSent;
  }

  /** Number of bytes queued but not yet written. */
  get queuedBytes(): number {
    return this.#socket.writableLength + this.#pendingBodyBytes;
  }

  /** Whether a body of `bodyBytes` bytes may be queued; always true if the queue is empty. */
  canQueue(bodyBytes: number): boolean {
    return this.queuedBytes === 0 ||
      this.queuedBytes + bodyBytes <= MAX_QUEUED_BYTES;
  }

  /** Writes a message as one frame. */
  send(message: PeerMessage): void {
    if (this.#socket.destroyed) {
      return;
    }
    if (!this.#isCorked) {
      this.#isCorked = true;
      this.#socket.cork();
      process.nextTick(() => this.#uncork());
    }
    const frame = encodeFrame(message);
    this.#socket.write(frame);
    this.#recordSent(message, frame.length);
  }

  /** Writes a message and its body, inline if it fits into one chunk, otherwise as separate chunks. */
  sendWithBody(head: CallMessage | ReplyMessage, body: Uint8Array): void {
    if (body.length <= CHUNK_BYTES) {
      this.send({ ...head, body });
      return;
    }
    this.send(head);
    void this.#sendChunks(head, body);
  }

  /** Flushes the frames written in one turn of the event loop together. */
  #uncork(): void {
    this.#isCorked = false;
    this.#socket.uncork();
  }

  async #sendChunks(
    head: CallMessage | ReplyMessage,
    body: Uint8Array,
  ): Promise<void> {
    const { callId } = head;
    const isReply = head.kind === "reply";
    this.#pendingBodyBytes += body.length;
    let offsetBytes = 0;
    while (offsetBytes < body.length && !this.#socket.destroyed) {
      const part = body.subarray(offsetBytes, offsetBytes + CHUNK_BYTES);
      this.send({ kind: "chunk", callId, isReply, offsetBytes, body: part });
      this.#pendingBodyBytes -= part.length;
      offsetBytes += part.length;
      await this.#waitUntilDrained();
    }
    this.#pendingBodyBytes -= body.length - offsetBytes;
  }

  async #waitUntilDrained(): Promise<void> {
    if (!this.#socket.writableNeedDrain) {
      return;
    }
    this.#drained ??= new Promise<void>((resolve) => {
      const socket = this.#socket;
      function finish(): void {
        socket.off("drain", finish);
        socket.off("close", finish);
        resolve();
      }
      socket.on("drain", finish);
      socket.on("close", finish);
    });
    await this.#drained;
    this.#drained = undefined;
  }
}
