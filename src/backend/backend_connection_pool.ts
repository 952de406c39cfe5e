/**
 * Connections to the backend server on this VM.
 *
 * Each connection serves one call at a time and is kept for the next; the one
 * used last goes first, so that the others may close. A call that must not be
 * lost to a connection which was dropped while idle asks for one used lately.
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

export type {
  BackendExchange,
  BackendResponse,
  ExchangeFailure,
} from "./backend_connection.ts";

/** Idle time after which a kept connection is closed, in milliseconds; below the usual timeouts of servers. */
const MAX_IDLE_MS = 8_000;

const MISMATCH: ExchangeFailure = {
  kind: "mismatched",
  message: "the response belongs to another request",
};

/** Options of an exchange. */
export interface ExchangeOptions {
  /** Longest idle time of the connection used; a new one is opened otherwise. */
  readonly maxIdleMs?: number | undefined;
  /** Whether a response answers this request; if not, it and its connection are given up. */
  readonly isMatchingResponse?: (response: BackendResponse) => boolean;
}

/** Keeps connections to one origin. */
export class BackendConnectionPool {
  readonly #clock: Clock;
  readonly #idle: BackendConnection[] = [];
  readonly #trust: AdaptiveIdleLimit;
  #origin = "";

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#trust = new AdaptiveIdleLimit(clock);
  }

  /** Sends one request on a connection of its own. */
  async exchange(
    origin: string,
    request: BackendExchange,
    { maxIdleMs = MAX_IDLE_MS, isMatchingResponse: isOwn = () => true }:
      ExchangeOptions = {},
  ): Promise<Result<BackendResponse, ExchangeFailure>> {
    this.#use(origin);
    const connection = this.#take(Math.min(maxIdleMs, this.#trust.trustedMs));
    const idleMs = this.#clock.monotonicMs() - connection.usedAtMs;
    const exchanged = await connection.exchange(request);
    const result = exchanged.andThen((response) =>
      isOwn(response) ? ok(response) : err(MISMATCH)
    );
    this.#keep(connection, origin, result);
    if (isDropped(result, request) && Number.isFinite(idleMs)) {
      this.#trust.noteDropped(idleMs);
    }
    return result;
  }

  /** Ends the idle connections. */
  async close(): Promise<void> {
    await Promise.all(this.#idle.splice(0).map((each) => each.close()));
  }

  #use(origin: string): void {
    if (this.#origin !== origin) {
      this.#origin = origin;
      void this.close();
    }
  }

  #take(maxIdleMs: number): BackendConnection {
    const oldestMs = this.#clock.monotonicMs() - maxIdleMs;
    const latest = this.#idle.at(-1);
    if (latest && latest.usedAtMs >= oldestMs) {
      this.#idle.pop();
      return latest;
    }
    return new BackendConnection(this.#origin);
  }

  #keep(
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
    while (nowMs - (this.#idle[0]?.usedAtMs ?? nowMs) > MAX_IDLE_MS) {
      void this.#idle.shift()?.close();
    }
  }
}

/** Whether the connection ended by itself before anything came back. */
function isDropped(
  result: Result<BackendResponse, ExchangeFailure>,
  { signal }: BackendExchange,
): boolean {
  return result.isErr() && result.error.kind === "broken" &&
    result.error.hasResponse === false && !signal.aborted;
}
