/**
 * A connection to the backend server on this VM, used by one call at a time.
 *
 * A response body without a length is delimited by the end of the connection, so
 * it is complete only if the connection was closed rather than reset. If a reset
 * arrives together with data, Node.js reports it like a close; only writing to
 * the connection afterwards distinguishes the two.
 */

import type { Buffer } from "node:buffer";
import type { CallSignal } from "../cancellation/mod.ts";
import type { HeldMemory } from "../memory/mod.ts";
import type { Socket } from "node:net";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { buildConnector, Client } from "undici";
import type { Dispatcher } from "undici";
import { ResponseBody } from "./response_body.ts";

/** Timeout for connecting to the backend server, which is on this VM, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Idle timeout of a connection if the backend server states none in its responses, in milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

/** Limit of a response body that states no length and so may have no end, in bytes. */
const MAX_UNSTATED_BYTES = 16_777_216;

/** Statuses of responses that have no body. */
const EMPTY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Lowest status of a final response; lower ones are informational. */
const FIRST_FINAL_STATUS = 200;

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

/** Receives one response from undici. */
class ResponseCollector {
  isSent = false;
  readonly #settle: Settle;
  readonly #connection: BackendConnection;
  readonly #exchange: BackendExchange;
  #maxBodyBytes: number;
  #body: ResponseBody | undefined;
  #status = 0;
  #headers: readonly string[] = [];
  #isDelimited = false;

  constructor(
    connection: BackendConnection,
    exchange: BackendExchange,
    settle: Settle,
  ) {
    this.#connection = connection;
    this.#exchange = exchange;
    this.#maxBodyBytes = exchange.maxBodyBytes;
    this.#settle = settle;
  }

  onRequestStart(): void {
    this.isSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.#connection.hasResponse = true;
    if (status < FIRST_FINAL_STATUS) {
      return;
    }
    this.#status = status;
    this.#headers = flattenHeaders(headers);
    this.#isDelimited = EMPTY_STATUSES.has(status) ||
      headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    const { memory, signal, onHead } = this.#exchange;
    onHead?.({ status, headers: this.#headers });
    const statedBytes = readStatedLength(headers["content-length"]);
    if (statedBytes === undefined) {
      this.#maxBodyBytes = Math.min(this.#maxBodyBytes, MAX_UNSTATED_BYTES);
    }
    if (this.#isTooLarge(controller, statedBytes ?? 0)) {
      return;
    }
    this.#body = new ResponseBody(controller, {
      ...{ memory, signal, statedBytes },
      fail: () => this.#failTooLarge(controller),
    });
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const lengthBytes = (this.#body?.lengthBytes ?? 0) + chunk.length;
    if (!this.#isTooLarge(controller, lengthBytes)) {
      this.#body?.add(controller, chunk);
    }
  }

  onResponseEnd(): void {
    const response = {
      status: this.#status,
      headers: this.#headers,
      body: this.#body?.concatenate() ?? EMPTY_BODY,
    };
    if (this.#isDelimited) {
      this.#settle(ok(response));
      return;
    }
    this.#connection.probeReset((isReset) => {
      const message =
        "connection was reset within a response body without a length";
      this.#settle(isReset ? err({ kind: "broken", message }) : ok(response));
    });
  }

  #isTooLarge(
    controller: Dispatcher.DispatchController,
    lengthBytes: number,
  ): boolean {
    const isTooLarge = lengthBytes > this.#maxBodyBytes;
    if (isTooLarge) {
      this.#failTooLarge(controller);
    }
    return isTooLarge;
  }

  #failTooLarge(controller: Dispatcher.DispatchController): void {
    const message = "response body exceeds the memory that it may use";
    this.#settle(err({ kind: "too-large", message }));
    controller.abort(new Error(message));
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error & { code?: string },
  ): void {
    const unsentKind = error.code === CONNECTION_REFUSED_CODE
      ? "unconnected"
      : "not-sent";
    const kind = this.isSent ? "broken" : unsentKind;
    const hasResponse = this.#status !== 0;
    this.#settle(err({ kind, message: error.message, hasResponse }));
  }
}

/** A connection that is opened on first use, and reopened if it was closed while idle. */
export class BackendConnection {
  readonly #client: Client;
  #socket: Socket | undefined;
  /** Monotonic time at which the last exchange ended, in milliseconds; -Infinity before the first. */
  usedAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the start of a response to the latest exchange was received, informational ones included. */
  hasResponse = false;

  constructor(origin: string) {
    // Half-open, so that probeReset can write after the server has ended the connection.
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      allowHalfOpen: true,
    });
    this.#client = new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) =>
        connect(options, (...opened) => {
          const [error, socket] = opened;
          this.#socket = error ? undefined : socket;
          callback(...opened);
        }),
    });
  }

  /** Reports whether the ended connection was reset; a write to one that was closed still succeeds. */
  probeReset(report: (isReset: boolean) => void): void {
    if (!this.#socket || this.#socket.errored) {
      report(true);
      return;
    }
    this.#socket.write(PROBE, (error) => report(Boolean(error)));
  }

  /** Sends a request and collects its response. */
  exchange(
    request: BackendExchange,
  ): Promise<Result<BackendResponse, ExchangeFailure>> {
    const { method, path, headers, body, signal } = request;
    this.hasResponse = false;
    return new Promise((resolve) => {
      const abort = () => void this.close(new Error("the call was aborted"));
      const collector = new ResponseCollector(this, request, (result) => {
        signal.removeEventListener("abort", abort);
        resolve(result);
      });
      signal.addEventListener("abort", abort);
      try {
        this.#client.dispatch({
          method: method as Dispatcher.HttpMethod,
          path,
          headers: [...headers],
          body: body.length > 0 ? body : null,
        }, collector);
      } catch (cause) {
        const kind = collector.isSent ? "broken" : "not-sent";
        resolve(err({ kind, message: (cause as Error).message }));
      }
    });
  }

  /** Closes the connection and fails the exchange in progress. */
  async close(
    error = new Error("the connection is no longer needed"),
  ): Promise<void> {
    await this.#client.destroy(error);
  }
}

function readStatedLength(
  value: string | string[] | undefined,
): number | undefined {
  return value === undefined ? undefined : Number(value);
}

function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): string[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    Array.isArray(value)
      ? value.flatMap((item) => [name, item])
      : value === undefined
      ? []
      : [name, value]
  );
}
