/**
 * A pool of connections to the backend server on this VM.
 *
 * Each connection serves one call at a time and is then reused. The most
 * recently used one is taken first, so that the others can time out. A call that
 * must not fail because its connection was dropped while idle can limit the idle
 * time of the connection it uses. Connections that may no longer deliver are
 * replaced by new ones (see `silence_detector.ts`).
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Clock } from "../time/mod.ts";
import { BackendConnection } from "./backend_connection.ts";
import type {
  BackendExchange,
  BackendResponse,
  ExchangeFailure,
} from "./backend_connection.ts";
import { AdaptiveIdleLimit } from "./adaptive_idle_limit.ts";
import { SilenceDetector } from "./silence_detector.ts";

export type {
  BackendExchange,
  BackendResponse,
  ExchangeFailure,
  ResponseHead,
} from "./backend_connection.ts";

/** Idle time after which a connection is closed, in milliseconds; below the usual idle timeouts of servers. */
const MAX_IDLE_MS = 8_000;

const MISMATCH_FAILURE: ExchangeFailure = {
  kind: "mismatched",
  message: "the response belongs to another request",
};

/** How a response arrived. */
export interface ResponseArrival {
  /** Whether other bytes followed it at once. */
  readonly hasExtraBytes: boolean;
}

/** Options of an exchange. */
export interface ExchangeOptions {
  /** Longest idle time of a reused connection, in milliseconds; otherwise a new one is opened. */
  readonly maxIdleMs?: number | undefined;
  /** Whether to use a connection on which no other request was sent. */
  readonly isSeparate?: boolean;
  /** Whether a response belongs to this request; if not, it is discarded and the connection closed. */
  readonly isMatchingResponse?: (
    response: BackendResponse,
    arrival: ResponseArrival,
  ) => boolean;
}

/** Pools connections to one origin at a time. */
export class BackendConnectionPool {
  readonly #clock: Clock;
  readonly #idle: BackendConnection[] = [];
  readonly #idleLimit: AdaptiveIdleLimit;
  #silence: SilenceDetector;
  #origin = "";
  #url = new URL("http://127.0.0.1");

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#idleLimit = new AdaptiveIdleLimit(clock);
    this.#silence = new SilenceDetector(clock);
  }

  /** Sends a request on an idle or a new connection; the pool switches to `origin`. */
  async exchange(
    origin: string,
    request: BackendExchange,
    {
      maxIdleMs = MAX_IDLE_MS,
      isSeparate = false,
      isMatchingResponse = () => true,
    }: ExchangeOptions = {},
  ): Promise<Result<BackendResponse, ExchangeFailure>> {
    this.#switchOrigin(origin);
    const connection = isSeparate
      ? this.#replace()
      : this.#acquire(Math.min(maxIdleMs, this.#idleLimit.limitMs));
    const startedAtMs = this.#clock.monotonicMs();
    const idleMs = startedAtMs - connection.usedAtMs;
    const silence = this.#silence;
    const observed = Number.isFinite(idleMs)
      ? silence.begin(connection)
      : undefined;
    const exchanged = await connection.exchange(request);
    const result = exchanged.andThen((response) =>
      isMatchingResponse(response, connection)
        ? ok(response)
        : err(MISMATCH_FAILURE)
    );
    if (result.isOk()) {
      silence.recordResponseTime(this.#clock.monotonicMs() - startedAtMs);
    }
    if (observed) {
      silence.end(observed, { isAborted: request.signal.aborted });
      this.#closeUsedBefore(this.#silence.silentBeforeMs);
    }
    this.#release(connection, origin, result);
    if (isDropped(result, request) && Number.isFinite(idleMs)) {
      this.#idleLimit.recordDrop(idleMs);
    }
    return result;
  }

  /** Closes the idle connections. */
  async close(): Promise<void> {
    await Promise.all(
      this.#idle.splice(0).map((connection) => connection.close()),
    );
  }

  #switchOrigin(origin: string): void {
    if (this.#origin !== origin) {
      this.#origin = origin;
      this.#url = new URL(origin);
      this.#silence = new SilenceDetector(this.#clock);
      void this.close();
    }
  }

  #acquire(maxIdleMs: number): BackendConnection {
    const minUsedAtMs = this.#clock.monotonicMs() - maxIdleMs;
    const latest = this.#idle.at(-1);
    if (latest && latest.usedAtMs < this.#silence.doubtfulBeforeMs) {
      return this.#replace();
    } else if (latest && latest.usedAtMs >= minUsedAtMs) {
      this.#idle.pop();
      return latest;
    }
    return new BackendConnection(this.#url);
  }

  /** Opens a connection in place of the one that is idle for longest, so that the server keeps no more than before. */
  #replace(): BackendConnection {
    void this.#idle.shift()?.close();
    return new BackendConnection(this.#url);
  }

  #release(
    connection: BackendConnection,
    origin: string,
    result: Result<BackendResponse, ExchangeFailure>,
  ): void {
    if (result.isErr() || origin !== this.#origin) {
      void connection.close();
      return;
    }
    const nowMs = this.#clock.monotonicMs();
    connection.usedAtMs = nowMs;
    this.#idle.push(connection);
    this.#closeUsedBefore(nowMs - MAX_IDLE_MS);
  }

  #closeUsedBefore(limitMs: number): void {
    while ((this.#idle[0]?.usedAtMs ?? limitMs) < limitMs) {
      void this.#idle.shift()?.close();
    }
  }
}

/** Whether the connection broke, without an abort, before any part of a response arrived. */
function isDropped(
  result: Result<BackendResponse, ExchangeFailure>,
  { signal }: BackendExchange,
): boolean {
  return result.isErr() && result.error.kind === "broken" &&
    result.error.hasResponse === false && !signal.aborted;
}
