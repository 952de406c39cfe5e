/**
 * The writing side of a connection: frames go out in order, and the bodies of
 * several messages take turns, one chunk each, so that a small message does not
 * wait behind a large one.
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

/** Bytes that may wait to be written to one peer. */
const MAX_QUEUED_BYTES = 33_554_432;

/** Writes messages to one socket. */
export class FrameWriter {
  readonly #socket: Socket;
  #waitingBodyBytes = 0;
  #isCorked = false;
  #drained: Promise<void> | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Bytes that wait to be written. */
  get queuedBytes(): number {
    return this.#socket.writableLength + this.#waitingBodyBytes;
  }

  /** Whether a body of this length may be queued. */
  canQueue(bodyBytes: number): boolean {
    return this.queuedBytes === 0 ||
      this.queuedBytes + bodyBytes <= MAX_QUEUED_BYTES;
  }

  /** Writes one message. */
  send(message: PeerMessage): void {
    if (this.#socket.destroyed) {
      return;
    }
    if (!this.#isCorked) {
      this.#isCorked = true;
      this.#socket.cork();
      process.nextTick(() => this.#uncork());
    }
    this.#socket.write(encodeFrame(message));
  }

  /** Writes a message with its body, in one frame or in chunks. */
  sendWithBody(head: CallMessage | ReplyMessage, body: Uint8Array): void {
    if (body.length <= CHUNK_BYTES) {
      this.send({ ...head, body });
      return;
    }
    this.send(head);
    void this.#sendChunks(head, body);
  }

  /** Frames of one turn leave together. */
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
    this.#waitingBodyBytes += body.length;
    let offsetBytes = 0;
    while (offsetBytes < body.length && !this.#socket.destroyed) {
      const part = body.subarray(offsetBytes, offsetBytes + CHUNK_BYTES);
      this.send({ kind: "chunk", callId, isReply, offsetBytes, body: part });
      this.#waitingBodyBytes -= part.length;
      offsetBytes += part.length;
      await this.#waitUntilDrained();
    }
    this.#waitingBodyBytes -= body.length - offsetBytes;
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
