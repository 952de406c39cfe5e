/**
 * A client that keeps a number of `safe` requests outstanding on one connection
 * (pipelining) and may read slowly.
 */

import { Buffer } from "node:buffer";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { HOST, PORTS } from "./deployment.ts";
import { now } from "./time.ts";

const HEAD_END = "\r\n\r\n";

/** What became of a request. */
export interface PipelinedRequest {
  readonly attemptId: string;
  readonly sentAtMs: number;
  readonly deadlineMs: number;
  /** When the complete answer had arrived; undefined without one. */
  answeredAtMs: number | undefined;
  status: number;
  /** When the connection had ended; undefined while it is open. */
  connectionEndedAtMs: number | undefined;
  /** Whether an earlier answer on the connection said that it closes it. */
  isBehindClose: boolean;
}

/** Options of a {@link PipeliningClient}. */
export interface PipeliningOptions {
  readonly address: string;
  readonly name: string;
  readonly path: string;
  /** Requests that are outstanding at a time. */
  readonly depth: number;
  readonly deadlineMs: number;
  /** Pause after each read, in milliseconds. */
  readonly readPauseMs?: number;
  /** Whether to send another request for each answer. */
  readonly isRefilled?: boolean;
}

/** One connection with outstanding requests. */
export class PipeliningClient {
  readonly requests: PipelinedRequest[] = [];
  /** Resolves when the connection has ended. */
  readonly ended: Promise<void>;
  readonly #options: PipeliningOptions;
  readonly #socket: Socket;
  readonly #open: PipelinedRequest[] = [];
  #received: Buffer = Buffer.alloc(0);
  #mustNotSend = false;

  constructor(options: PipeliningOptions) {
    this.#options = options;
    const { address, readPauseMs = 0 } = options;
    const socket = connect({ host: address, port: PORTS.callers });
    this.#socket = socket;
    socket.on("connect", () => this.#fill());
    socket.on("error", () => undefined); // The end of the connection tells.
    socket.on("data", (bytes) => {
      this.#receive(bytes);
      if (readPauseMs > 0) {
        socket.pause();
        setTimeout(() => socket.resume(), readPauseMs);
      }
    });
    this.ended = new Promise((resolve) =>
      socket.once("close", () => {
        this.#open.forEach((each) => each.connectionEndedAtMs = now());
        resolve();
      })
    );
  }

  /** Bytes of an answer that has begun and is not complete. */
  get incompleteBytes(): number {
    return this.#received.length;
  }

  /** Sends no more requests, and closes the connection once all are answered. */
  finish(): void {
    this.#mustNotSend = true;
    this.#closeIfDone();
  }

  /** Closes the connection at once. */
  leave(): void {
    this.#mustNotSend = true;
    this.#socket.destroy();
  }

  #fill(): void {
    const { depth, name, path, deadlineMs } = this.#options;
    while (!this.#mustNotSend && this.#open.length < depth) {
      const attemptId = `${name}n${this.requests.length}`;
      const request: PipelinedRequest = {
        ...{ attemptId, deadlineMs, sentAtMs: now() },
        ...{ answeredAtMs: undefined, status: 0 },
        ...{ connectionEndedAtMs: undefined, isBehindClose: false },
      };
      this.requests.push(request);
      this.#open.push(request);
      this.#socket.write(
        `GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\n` +
          `Attempt-Id: ${attemptId}\r\nDeadline-Ms: ${deadlineMs}\r\n\r\n`,
      );
    }
  }

  #receive(bytes: Buffer): void {
    this.#received = Buffer.concat([this.#received, bytes]);
    for (;;) {
      const headBytes = this.#received.indexOf(HEAD_END);
      const head = this.#received.toString("latin1", 0, Math.max(0, headBytes));
      const [, length = "0"] = /\ncontent-length: *(\d+)/i.exec(head) ?? [];
      const totalBytes = headBytes + HEAD_END.length + Number(length);
      this.#mustNotSend ||= /\nconnection: *close/i.test(head);
      if (headBytes < 0 || this.#received.length < totalBytes) {
        break;
      }
      this.#received = this.#received.subarray(totalBytes);
      this.#settle(head);
    }
    if (this.#options.isRefilled ?? true) {
      this.#fill();
    }
    this.#closeIfDone();
  }

  #settle(head: string): void {
    const request = this.#open.shift();
    if (request) {
      request.answeredAtMs = now();
      request.status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0);
    }
    if (/\nconnection: *close/i.test(head)) {
      this.#open.forEach((each) => each.isBehindClose = true);
    }
  }

  #closeIfDone(): void {
    if (this.#mustNotSend && this.#open.length === 0) {
      this.#socket.end();
    }
  }
}
