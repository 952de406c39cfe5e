/**
 * A connection to the backend server on this VM, used by one call at a time.
 *
 * The connection is written to and read directly, since this is done for every
 * run: requests have no streaming body, and a response is small or counted against
 * the memory of its call.
 *
 * A response body without a length is delimited by the end of the connection, so
 * it is complete only if the connection was closed rather than reset. If a reset
 * arrives together with data, Node.js reports it like a close; only writing to
 * the connection afterwards distinguishes the two.
 */

import { Buffer } from "node:buffer";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CallSignal } from "../cancellation/mod.ts";
import type { HeldMemory } from "../memory/mod.ts";
import { encodeRequestHead } from "./encode_request_head.ts";
import { ResponseBody } from "./response_body.ts";
import { EMPTY_STATUSES, ResponseParser } from "./response_parser.ts";
import type { ParsedHead, ResponseHandler } from "./response_parser.ts";

/** Timeout for connecting to the backend server, which is on this VM, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Idle timeout of a connection if the backend server states none in its responses, in milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

/** Deducted from the idle timeout that a server states, so that the connection is not used just when the server closes it, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;

/**
 * Idle time after which a connection is read once more before it is used, in
 * milliseconds, since the server may just have closed it. One that was used more
 * recently is not, which saves a turn of the event loop for each request.
 */
const RECENTLY_USED_MS = 100;

/** Buffer into which all connections are read; what is kept is copied out of it. */
const READ_BUFFER = Buffer.allocUnsafeSlow(65_536);

/** Limit of a response body that states no length and so may have no end, in bytes. */
const MAX_UNSTATED_BYTES = 16_777_216;

/** Lowest status of a final response; lower ones are informational. */
const FIRST_FINAL_STATUS = 200;

const DEFAULT_PORT = 80;

/** Data written to detect a reset: an empty line, which is not a request. */
const PROBE = "\r\n";

const EMPTY_BODY = new Uint8Array(0);

/** Error code if nothing listens at the address. */
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

/** A request to the backend server. */
export interface BackendExchange {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Header fields, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly signal: CallSignal;
  /** Memory of the call; the response body counts against it. */
  readonly memory?: HeldMemory;
  /** Limit of the response body, in bytes. */
  readonly maxBodyBytes: number;
  /** Called when the head of the final response has arrived. */
  readonly onHead?: ((head: ResponseHead) => void) | undefined;
}

/** Status and header fields of a response. */
export interface ResponseHead {
  readonly status: number;
  /** Header fields, as alternating lower-case names and values. */
  readonly headers: readonly string[];
  /** Whether no other request was sent on the connection before. */
  readonly isFirst: boolean;
}

/** A complete response. */
export interface BackendResponse extends ResponseHead {
  readonly body: Uint8Array;
}

/** Failure of a request. */
export interface ExchangeFailure {
  /**
   * - `unconnected`: the backend server does not accept connections.
   * - `not-sent`: no data was written to the connection.
   * - `too-large`: the response body exceeds the limit.
   * - `mismatched`: the response belongs to another request; this one may have run.
   * - `broken`: the request may have run.
   */
  readonly kind:
    | "unconnected"
    | "not-sent"
    | "too-large"
    | "mismatched"
    | "broken";
  readonly message: string;
  /** Whether the start of a response had been received. */
  readonly hasResponse?: boolean;
}

type Settle = (result: Result<BackendResponse, ExchangeFailure>) => void;

/** An exchange in progress, which receives its response. */
class Exchange implements ResponseHandler {
  isSent = false;
  isSettled = false;
  /** Whether the request is the first one on its connection. */
  isFirst = false;
  /** Whether the connection can be used again. */
  isPersistent = false;
  idleTimeoutMs = IDLE_TIMEOUT_MS;
  readonly parser: ResponseParser;
  readonly request: BackendExchange;
  /** Encoded head of the request. */
  readonly head: string;
  readonly #settle: Settle;
  readonly #connection: BackendConnection;
  #head: ParsedHead | undefined;
  #maxBodyBytes: number;
  #body: ResponseBody | undefined;

  constructor(
    connection: BackendConnection,
    { request, head }: { request: BackendExchange; head: string },
    settle: Settle,
  ) {
    this.#connection = connection;
    this.request = request;
    this.head = head;
    this.#maxBodyBytes = request.maxBodyBytes;
    this.#settle = settle;
    this.parser = new ResponseParser(this, request);
  }

  onHead(head: ParsedHead): void {
    this.#connection.hasResponse = true;
    if (head.status < FIRST_FINAL_STATUS) {
      return;
    }
    this.#head = head;
    const { status, headers, idleTimeoutMs } = head;
    const hasBody = this.request.method !== "HEAD" &&
      !EMPTY_STATUSES.has(status);
    const statedBytes = hasBody ? head.statedBytes : 0;
    this.idleTimeoutMs = idleTimeoutMs === undefined
      ? IDLE_TIMEOUT_MS
      : idleTimeoutMs - IDLE_MARGIN_MS;
    const { memory, signal, onHead } = this.request;
    onHead?.({ status, headers, isFirst: this.isFirst });
    if (statedBytes === undefined) {
      this.#maxBodyBytes = Math.min(this.#maxBodyBytes, MAX_UNSTATED_BYTES);
    }
    if (this.#isTooLarge(statedBytes ?? 0)) {
      return;
    }
    this.#body = new ResponseBody(this.#connection, {
      ...{ memory, signal, statedBytes },
      fail: () => this.#failTooLarge(),
    });
  }

  onBody(part: Buffer): void {
    if (
      this.#body && !this.#isTooLarge(this.#body.lengthBytes + part.length)
    ) {
      this.#body.add(this.#connection, part);
    }
  }

  onEnd(): void {
    const { status = 0, headers = [], isDelimited = false } = this.#head ?? {};
    const { isFirst } = this;
    const body = this.#body?.concatenate() ?? EMPTY_BODY;
    const response = { status, headers, isFirst, body };
    // A body that arrived whole may still wait for memory; reading is interrupted until then.
    this.isPersistent = isDelimited && this.#head?.isPersistent === true &&
      !this.#body?.isWaiting;
    if (isDelimited || this.request.method === "HEAD") {
      this.settle(ok(response));
      return;
    }
    this.#connection.probeReset((isReset) => {
      const message =
        "connection was reset within a response body without a length";
      this.settle(isReset ? err({ kind: "broken", message }) : ok(response));
    });
  }

  /** Ends the exchange with a failure of its connection, unless it has ended. */
  fail({ message, code }: Error & { code?: string }): void {
    const unsentKind = code === CONNECTION_REFUSED_CODE
      ? "unconnected"
      : "not-sent";
    const kind = this.isSent ? "broken" : unsentKind;
    const hasResponse = this.#head !== undefined;
    this.settle(err({ kind, message, hasResponse }));
  }

  settle(result: Result<BackendResponse, ExchangeFailure>): void {
    if (!this.isSettled) {
      this.isSettled = true;
      this.#settle(result);
    }
  }

  #isTooLarge(lengthBytes: number): boolean {
    const isTooLarge = lengthBytes > this.#maxBodyBytes;
    if (isTooLarge) {
      this.#failTooLarge();
    }
    return isTooLarge;
  }

  #failTooLarge(): void {
    if (this.isSettled) {
      return;
    }
    const message = "response body exceeds the memory that it may use";
    this.settle(err({ kind: "too-large", message }));
    void this.#connection.close(new Error(message));
  }
}

/** A connection that is opened on first use, and reopened if it was closed while idle. */
export class BackendConnection {
  readonly #origin: URL;
  #socket: Socket | undefined;
  #exchange: Exchange | undefined;
  /** Time until which the connection may be reused, on the monotonic clock of the process. */
  #reusableUntilMs = 0;
  #idleSinceMs = 0;
  /** Monotonic time at which the last exchange ended, in milliseconds; -Infinity before the first. */
  usedAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the start of a response to the latest exchange was received, informational ones included. */
  hasResponse = false;
  /** Whether bytes arrived together with the end of the latest response and after it. */
  hasExtraBytes = false;

  constructor(origin: URL) {
    this.#origin = origin;
  }

  /** Reports whether the ended connection was reset; a write to one that was closed still succeeds. */
  probeReset(report: (isReset: boolean) => void): void {
    if (!this.#socket || this.#socket.errored) {
      report(true);
      return;
    }
    this.#socket.write(PROBE, (error) => report(Boolean(error)));
  }

  /** Interrupts the reading of the response. */
  pause(): void {
    this.#socket?.pause();
  }

  /** Continues the reading of the response. */
  resume(): void {
    this.#socket?.resume();
  }

  /** Sends a request and collects its response. */
  exchange(
    request: BackendExchange,
  ): Promise<Result<BackendResponse, ExchangeFailure>> {
    const { signal } = request;
    this.hasResponse = false;
    this.hasExtraBytes = false;
    const head = encodeRequestHead(request, this.#origin.host);
    if (head === undefined) {
      const message = "the request cannot be sent over HTTP";
      return Promise.resolve(err({ kind: "not-sent", message }));
    }
    return new Promise((resolve) => {
      const abort = () => {
        const error = new Error("the call was aborted");
        void this.close(error);
        exchange.fail(error);
      };
      const exchange = new Exchange(this, { request, head }, (result) => {
        signal.removeEventListener("abort", abort);
        this.#finish(exchange);
        resolve(result);
      });
      signal.addEventListener("abort", abort);
      this.#start(exchange);
    });
  }

  /** Closes the connection and fails the exchange in progress. */
  close(
    error = new Error("the connection is no longer needed"),
  ): Promise<void> {
    const socket = this.#socket;
    this.#socket = undefined;
    socket?.destroy();
    this.#exchange?.fail(error);
    return Promise.resolve();
  }

  #start(exchange: Exchange): void {
    const nowMs = performance.now();
    const socket = this.#socket;
    if (!socket || socket.destroyed || nowMs >= this.#reusableUntilMs) {
      socket?.destroy();
      this.#exchange = exchange;
      this.#connect();
    } else if (nowMs - this.#idleSinceMs < RECENTLY_USED_MS) {
      this.#exchange = exchange;
      send(socket, exchange);
    } else {
      // The end of an idle connection is read first; it does not end this exchange.
      setImmediate(() => {
        if (exchange.isSettled) {
          return;
        }
        this.#exchange = exchange;
        if (this.#socket === socket && !socket.destroyed) {
          send(socket, exchange);
        } else {
          this.#connect();
        }
      });
    }
  }

  /** Opens a connection, on which the exchange in progress is sent. The listeners must not refer to the exchange: they would keep its response for as long as the connection. */
  #connect(): void {
    const { hostname, port } = this.#origin;
    const socket = connect({
      ...{ host: hostname, port: Number(port || DEFAULT_PORT) },
      // Half-open, so that probeReset can write after the server has ended the connection.
      ...{ allowHalfOpen: true, noDelay: true },
      onread: {
        buffer: READ_BUFFER,
        callback: (lengthBytes) => {
          this.#read(socket, READ_BUFFER.subarray(0, lengthBytes));
          return true;
        },
      },
    });
    this.#socket = socket;
    const timer = setTimeout(() => {
      socket.destroy(new Error("the backend server did not accept in time"));
    }, CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      if (this.#socket === socket && this.#exchange) {
        this.#exchange.isFirst = true;
        send(socket, this.#exchange);
      }
    });
    socket.on("error", (error) => this.#fail(socket, error));
    socket.once("end", () => this.#end(socket));
    socket.once("close", () => {
      clearTimeout(timer);
      this.#fail(socket, new Error("the connection was closed"));
    });
  }

  #read(socket: Socket, bytes: Buffer): void {
    if (this.#socket !== socket) {
      return;
    }
    const exchange = this.#exchange;
    // Nothing may arrive while no response is expected.
    if (!exchange?.isSent || !exchange.parser.push(bytes)) {
      this.hasExtraBytes = exchange?.isSettled === true;
      this.#socket = undefined;
      socket.destroy();
      this.#exchange?.fail(new Error("the response is malformed"));
    }
  }

  /** The server has ended the connection. */
  #end(socket: Socket): void {
    const isCompleted = this.#socket === socket &&
      this.#exchange?.parser.finish() === true;
    if (!isCompleted) {
      this.#fail(socket, new Error("the server ended the connection"));
      socket.destroy();
    }
  }

  #fail(socket: Socket, error: Error): void {
    if (this.#socket === socket) {
      this.#socket = undefined;
      this.#exchange?.fail(error);
    }
  }

  #finish(exchange: Exchange): void {
    if (this.#exchange !== exchange) {
      return;
    }
    this.#exchange = undefined;
    this.#idleSinceMs = performance.now();
    this.#reusableUntilMs = this.#idleSinceMs + exchange.idleTimeoutMs;
    // A server that has answered before it read the whole request may never read the rest.
    const isSentWhole = this.#socket?.writableLength === 0;
    if (!exchange.isPersistent || !isSentWhole) {
      this.#socket?.destroy();
      this.#socket = undefined;
    }
  }
}

function send(socket: Socket, exchange: Exchange): void {
  const { head, request: { body } } = exchange;
  exchange.isSent = true;
  if (body.length === 0) {
    socket.write(head, "latin1");
    return;
  }
  // One system call for both.
  socket.cork();
  socket.write(head, "latin1");
  socket.write(body);
  socket.uncork();
}
