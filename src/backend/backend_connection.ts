/**
 * One connection to the backend server on this VM, used by one call at a time.
 *
 * A body without a length ends with its connection. Whether the connection was
 * closed or reset decides whether such a body is whole. When bytes and a reset
 * arrive together, the runtime reports the same end as after a close; only a
 * write to the connection tells them apart.
 */

import { Buffer } from "node:buffer";
import type { CallSignal } from "../cancellation/mod.ts";
import type { Socket } from "node:net";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { buildConnector, Client } from "undici";
import type { Dispatcher } from "undici";

/** Time allowed for opening a connection on this VM, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Idle time after which a connection closes where the backend server states none, in milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

/** Statuses whose responses have no body. */
const EMPTY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

const FIRST_FINAL_STATUS = 200;

/** An empty line, which is no request. */
const PROBE = "\r\n";

/** Code of the error when nothing listens at the address. */
const REFUSED_CODE = "ECONNREFUSED";

/** One request to the backend server. */
export interface BackendExchange {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Header fields, names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly signal: CallSignal;
  /** Largest body taken, in bytes. */
  readonly maxBodyBytes: number;
}

/** A whole response. */
export interface BackendResponse {
  readonly status: number;
  /** Header fields with lower-case names, names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Why there is no whole response. */
export interface ExchangeFailure {
  /**
   * - `unconnected`: the backend server does not accept connections.
   * - `not-sent`: no byte was handed to the connection.
   * - `too-large`: the body exceeds what is taken.
   * - `mismatched`: the response answers another request; this one may have run.
   * - `broken`: the request may have run.
   */
  readonly kind:
    | "unconnected"
    | "not-sent"
    | "too-large"
    | "mismatched"
    | "broken";
  readonly message: string;
  /** Whether a response had begun. */
  readonly hasResponse?: boolean;
}

type Settle = (result: Result<BackendResponse, ExchangeFailure>) => void;

/** Collects one response. */
class ResponseCollector {
  isSent = false;
  readonly #settle: Settle;
  readonly #connection: BackendConnection;
  readonly #maxBodyBytes: number;
  readonly #parts: Buffer[] = [];
  #lengthBytes = 0;
  #status = 0;
  #headers: readonly string[] = [];
  #isDelimited = false;

  constructor(
    connection: BackendConnection,
    maxBodyBytes: number,
    settle: Settle,
  ) {
    this.#connection = connection;
    this.#maxBodyBytes = maxBodyBytes;
    this.#settle = settle;
  }

  onRequestStart(): void {
    this.isSent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < FIRST_FINAL_STATUS) {
      return;
    }
    this.#status = status;
    this.#headers = flattenHeaders(headers);
    this.#isDelimited = EMPTY_STATUSES.has(status) ||
      headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#lengthBytes += chunk.length;
    if (this.#lengthBytes > this.#maxBodyBytes) {
      const message = `response of more than ${this.#maxBodyBytes} bytes`;
      this.#settle(err({ kind: "too-large", message }));
      controller.abort(new Error(message));
      return;
    }
    this.#parts.push(chunk);
  }

  onResponseEnd(): void {
    const response = {
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#parts),
    };
    if (this.#isDelimited) {
      this.#settle(ok(response));
      return;
    }
    this.#connection.probeReset((isReset) => {
      const message = "connection was reset within a body without a length";
      this.#settle(isReset ? err({ kind: "broken", message }) : ok(response));
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error & { code?: string },
  ): void {
    const unsent = error.code === REFUSED_CODE ? "unconnected" : "not-sent";
    const kind = this.isSent ? "broken" : unsent;
    const hasResponse = this.#status !== 0;
    this.#settle(err({ kind, message: error.message, hasResponse }));
  }
}

/** A connection that is opened when first used, and again after it closed while idle. */
export class BackendConnection {
  readonly #client: Client;
  #socket: Socket | undefined;
  /** When the last exchange ended, in monotonic milliseconds. */
  usedAtMs = Number.NEGATIVE_INFINITY;

  constructor(origin: string) {
    // Half-open, so that a connection which the other side has ended can be written to.
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

  /** Tells whether the connection that has ended was reset; one that was closed still takes a write. */
  probeReset(report: (isReset: boolean) => void): void {
    if (!this.#socket || this.#socket.errored) {
      report(true);
      return;
    }
    this.#socket.write(PROBE, (error) => report(Boolean(error)));
  }

  /** Sends one request and collects its response. */
  exchange(
    request: BackendExchange,
  ): Promise<Result<BackendResponse, ExchangeFailure>> {
    const { method, path, headers, body, signal, maxBodyBytes } = request;
    return new Promise((resolve) => {
      const abort = () => void this.close(new Error("the call has ended"));
      const collector = new ResponseCollector(this, maxBodyBytes, (result) => {
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

  /** Ends the connection and the exchange on it. */
  async close(
    error = new Error("the connection is not needed"),
  ): Promise<void> {
    await this.#client.destroy(error);
  }
}

function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): string[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    Array.isArray(value)
      ? value.flatMap((each) => [name, each])
      : value === undefined
      ? []
      : [name, value]
  );
}
