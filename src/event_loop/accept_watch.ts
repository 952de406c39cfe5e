/**
 * Measurement of how long connections may have waited to be accepted.
 *
 * The event loop accepts one connection of a listener in each turn. Connections
 * that are accepted in consecutive turns may all have arrived before the first of
 * them; a turn without one shows that none was left.
 */

import type { Clock } from "../time/mod.ts";

/** Options of an {@link AcceptWatch}. */
export interface AcceptWatchOptions {
  readonly clock: Clock;
  /** Calls back after the event loop has polled its sockets; `setImmediate` by default. */
  readonly afterPoll?: (callback: () => void) => void;
}

/** Watches the queue of one listener. */
export class AcceptWatch {
  readonly #clock: Clock;
  readonly #afterPoll: (callback: () => void) => void;
  #hasAccepted = false;
  /** Earliest arrival of the connections that are being accepted, in monotonic milliseconds; undefined while none is left. */
  #earliestMs: number | undefined;

  constructor({ clock, afterPoll }: AcceptWatchOptions) {
    this.#clock = clock;
    this.#afterPoll = afterPoll ?? ((callback) => void setImmediate(callback));
  }

  /** Whether further connections may wait to be accepted. */
  get isBusy(): boolean {
    return this.#earliestMs !== undefined;
  }

  /**
   * Records that a connection was accepted.
   *
   * @param maxUnreadMs - Longest time for which what is read now may have waited
   * @returns The longest time for which the connection may have waited, in
   *   milliseconds
   */
  record(maxUnreadMs: number): number {
    const nowMs = this.#clock.monotonicMs();
    this.#hasAccepted = true;
    if (this.#earliestMs === undefined) {
      this.#earliestMs = nowMs - maxUnreadMs;
      this.#afterPoll(() => this.#checkTurn());
    }
    return nowMs - this.#earliestMs;
  }

  #checkTurn(): void {
    if (!this.#hasAccepted) {
      this.#earliestMs = undefined;
      return;
    }
    this.#hasAccepted = false;
    this.#afterPoll(() => this.#checkTurn());
  }
}
