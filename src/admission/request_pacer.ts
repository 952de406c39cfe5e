/**
 * Spaces out the requests to a backend server that has named a limit (token
 * bucket).
 *
 * A daemon that has just started does not know what the server has said to the
 * process before it. Until the first response it lets only a few requests run at
 * a time.
 */

import type { Clock } from "../time/mod.ts";

/**
 * Lowest rate in requests a second: some request has to pass, since only a
 * response can tell that a limit is gone.
 */
const MIN_REQUESTS_PER_SECOND = 0.5;

/** Requests that may run at a time before the first response. */
const MAX_UNCONFIRMED_REQUESTS = 3;

/** Unused time that may be made up for, in seconds. */
const BURST_S = 0.25;

const MS_PER_SECOND = 1_000;

/** What is known of a server's limit. */
const MODES = {
  unlimited: "unlimited",
  /** No response of the server is known. */
  unconfirmed: "unconfirmed",
  limited: "limited",
} as const;

/** Lets requests pass at the rate that a backend server takes. */
export class RequestPacer {
  readonly #clock: Clock;
  #mode: (typeof MODES)[keyof typeof MODES] = MODES.unlimited;
  #requestsPerSecond = MIN_REQUESTS_PER_SECOND;
  #tokens = 0;
  #refilledAtMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the server has named a limit. */
  get isLimited(): boolean {
    return this.#mode === MODES.limited;
  }

  /** Whether no response of the server is known yet. */
  get isUnconfirmed(): boolean {
    return this.#mode === MODES.unconfirmed;
  }

  /** Requests that may run at a time, as far as this depends on the server's limit. */
  get maxConcurrentRequests(): number {
    return this.isUnconfirmed ? MAX_UNCONFIRMED_REQUESTS : Infinity;
  }

  /** Whether a request may pass now. */
  get isOpen(): boolean {
    this.#refill();
    return !this.isLimited || this.#tokens >= 1;
  }

  /** Time between two requests under the limit, in milliseconds; 0 without one. */
  get intervalMs(): number {
    return this.isLimited ? MS_PER_SECOND / this.#requestsPerSecond : 0;
  }

  /** Time until the next request may pass, in milliseconds. */
  get delayMs(): number {
    if (this.isOpen) {
      return 0;
    }
    return (1 - this.#tokens) * MS_PER_SECOND / this.#requestsPerSecond;
  }

  /** Counts a request that passes. */
  take(): void {
    if (this.isLimited) {
      this.#refill();
      this.#tokens -= 1;
    }
  }

  /** Lets few requests run at a time until {@link setLimit} is called. */
  awaitFirstResponse(): void {
    this.#mode = MODES.unconfirmed;
  }

  /** Sets the limit in requests a second; undefined lifts it. */
  setLimit(requestsPerSecond: number | undefined): void {
    if (requestsPerSecond === undefined) {
      this.#mode = MODES.unlimited;
      return;
    }
    this.#refill();
    this.#tokens = this.isLimited ? this.#tokens : 0;
    this.#mode = MODES.limited;
    this.#refilledAtMs = this.#clock.monotonicMs();
    this.#requestsPerSecond = Math.max(
      MIN_REQUESTS_PER_SECOND,
      requestsPerSecond,
    );
  }

  #refill(): void {
    const nowMs = this.#clock.monotonicMs();
    const elapsedS = (nowMs - this.#refilledAtMs) / MS_PER_SECOND;
    this.#refilledAtMs = nowMs;
    this.#tokens = Math.min(
      Math.max(1, this.#requestsPerSecond * BURST_S),
      this.#tokens + elapsedS * this.#requestsPerSecond,
    );
  }
}
