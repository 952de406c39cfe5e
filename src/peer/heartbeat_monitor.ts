/**
 * Detection of connections that carry nothing any more.
 *
 * Only an unanswered heartbeat counts as silence: an idle connection that was
 * asked nothing owes nothing. A daemon that was paused itself starts anew
 * instead of blaming its peers.
 */

import type { Clock } from "../time/mod.ts";

/** Ticks that may be missed before the daemon counts itself as paused. */
const MISSED_TICKS = 3;

/** Measures for how long a heartbeat has been unanswered. */
export class HeartbeatMonitor {
  readonly #clock: Clock;
  readonly #tickIntervalMs: number;
  #askedAtMs: number | undefined;
  #lastActivityMs: number;
  #lastTickMs: number;

  constructor(clock: Clock, tickIntervalMs: number) {
    this.#clock = clock;
    this.#tickIntervalMs = tickIntervalMs;
    this.#lastActivityMs = clock.monotonicMs();
    this.#lastTickMs = this.#lastActivityMs;
  }

  /** Whether a heartbeat waits for its answer. */
  get isAsked(): boolean {
    return this.#askedAtMs !== undefined;
  }

  /** Time for which the oldest heartbeat has been unanswered, in milliseconds. */
  get silenceMs(): number {
    return this.#askedAtMs === undefined
      ? 0
      : this.#clock.monotonicMs() - this.#askedAtMs;
  }

  /** Time since anything was heard or asked, in milliseconds. */
  get idleMs(): number {
    return this.#clock.monotonicMs() - this.#lastActivityMs;
  }

  /** Something arrived from the peer. */
  noteHeard(): void {
    this.#askedAtMs = undefined;
    this.#lastActivityMs = this.#clock.monotonicMs();
  }

  /** A heartbeat was sent. */
  noteAsked(): void {
    this.#askedAtMs ??= this.#clock.monotonicMs();
    this.#lastActivityMs = this.#clock.monotonicMs();
  }

  /** Called at each tick, before the silence is judged. */
  tick(): void {
    const nowMs = this.#clock.monotonicMs();
    const isResumed =
      nowMs - this.#lastTickMs > this.#tickIntervalMs * MISSED_TICKS;
    this.#lastTickMs = nowMs;
    if (isResumed && this.#askedAtMs !== undefined) {
      this.#askedAtMs = nowMs;
    }
  }
}
