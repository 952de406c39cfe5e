/**
 * Detection of kept connections that no longer deliver.
 *
 * A fault of the network can silence every open connection to a backend server
 * without a reset, while new ones work. A request on a reused connection that has
 * waited for much longer than usual without a byte of a response is a sign of it:
 * from then on, connections last used before that request began are doubtful.
 * The doubt ends with the first response to it, or to a request that began on
 * another connection as old as those; it becomes final if the request ends
 * without either. The request itself keeps waiting, and nothing is sent twice.
 */

import type { Clock } from "../time/mod.ts";

/** Shortest wait that raises doubt, in milliseconds; above the delays of a busy process. */
const MIN_DOUBT_MS = 100;

/** Weight of a new sample in the mean response time, as for the round-trip time of TCP (RFC 6298). */
const MEAN_GAIN = 1 / 8;

/** Weight of a new sample in the mean deviation. */
const DEVIATION_GAIN = 1 / 4;

/** Number of mean deviations above the mean response time at which a wait raises doubt. */
const DEVIATION_FACTOR = 4;

/** A connection as the detector sees it. */
export interface ObservedConnection {
  /** Monotonic time at which the last exchange ended, in milliseconds. */
  readonly usedAtMs: number;
  /** Whether the start of a response to the exchange in progress was received. */
  readonly hasResponse: boolean;
}

/** An exchange in progress on a reused connection. */
export interface ReusedExchange {
  readonly connection: ObservedConnection;
  readonly startedAtMs: number;
  /** Whether a connection at least as old has delivered since the start. */
  isRefuted: boolean;
}

/** Tells which idle connections may be silent. */
export class SilenceDetector {
  readonly #clock: Clock;
  readonly #exchanges = new Set<ReusedExchange>();
  #meanMs = 0;
  #deviationMs = 0;
  #hasSample = false;
  #silentBeforeMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Monotonic time in milliseconds; connections last used before it do not deliver. */
  get silentBeforeMs(): number {
    return this.#silentBeforeMs;
  }

  /** Monotonic time in milliseconds; connections last used before it may not deliver. */
  get doubtfulBeforeMs(): number {
    const sinceMs = this.#clock.monotonicMs() - this.#doubtMs;
    let beforeMs = this.#silentBeforeMs;
    for (const exchange of this.#exchanges) {
      if (isSilent(exchange) && exchange.startedAtMs <= sinceMs) {
        beforeMs = Math.max(beforeMs, exchange.startedAtMs);
      }
    }
    return beforeMs;
  }

  /** Observes an exchange on a reused connection until {@link end}. */
  begin(connection: ObservedConnection): ReusedExchange {
    const startedAtMs = this.#clock.monotonicMs();
    const exchange = { connection, startedAtMs, isRefuted: false };
    this.#exchanges.add(exchange);
    return exchange;
  }

  /** Ends the observation; `isAborted` states that its time limit or its caller ended the exchange. */
  end(exchange: ReusedExchange, { isAborted }: { isAborted: boolean }): void {
    this.#exchanges.delete(exchange);
    const { connection, startedAtMs } = exchange;
    if (connection.hasResponse) {
      this.#refuteSince(connection.usedAtMs);
      return;
    }
    const waitedMs = this.#clock.monotonicMs() - startedAtMs;
    const isLong = waitedMs >= Math.max(MIN_DOUBT_MS, this.#meanMs);
    if (isAborted && isLong && isSilent(exchange)) {
      this.#silentBeforeMs = Math.max(this.#silentBeforeMs, startedAtMs);
    }
  }

  /** Records the time that a complete response took, in milliseconds. */
  recordResponseTime(durationMs: number): void {
    if (!this.#hasSample) {
      this.#hasSample = true;
      this.#meanMs = durationMs;
      this.#deviationMs = durationMs / 2;
      return;
    }
    const errorMs = durationMs - this.#meanMs;
    this.#meanMs += MEAN_GAIN * errorMs;
    this.#deviationMs += DEVIATION_GAIN *
      (Math.abs(errorMs) - this.#deviationMs);
  }

  /** Wait that raises doubt, in milliseconds. */
  get #doubtMs(): number {
    const longMs = this.#meanMs + DEVIATION_FACTOR * this.#deviationMs;
    return Math.max(MIN_DOUBT_MS, longMs);
  }

  /** A connection last used at `usedAtMs` has delivered, so that those used later probably do too. */
  #refuteSince(usedAtMs: number): void {
    for (const exchange of this.#exchanges) {
      if (usedAtMs < exchange.startedAtMs) {
        exchange.isRefuted = true;
      }
    }
  }
}

function isSilent({ connection, isRefuted }: ReusedExchange): boolean {
  return !connection.hasResponse && !isRefuted;
}
