/**
 * Detection of unresponsive connections.
 *
 * Only an unanswered heartbeat counts as silence, since nothing need arrive on
 * an idle connection. Time by which this daemon's own ticks are late does not
 * count either: a busy process runs its timers before it reads the replies that
 * wait in its sockets. After a longer pause the measurement restarts.
 */

import type { Clock } from "../time/mod.ts";

/** Number of missed ticks beyond which this daemon is considered to have been paused. */
const MAX_MISSED_TICKS = 3;

/** Measures how long a heartbeat has been unanswered. */
export class HeartbeatMonitor {
  readonly #clock: Clock;
  readonly #tickIntervalMs: number;
  #heartbeatSentAtMs: number | undefined;
  #lastActivityMs: number;
  #lastTickMs: number;

  constructor(clock: Clock, tickIntervalMs: number) {
    this.#clock = clock;
    this.#tickIntervalMs = tickIntervalMs;
    this.#lastActivityMs = clock.monotonicMs();
    this.#lastTickMs = this.#lastActivityMs;
  }

  /** Whether a heartbeat is unanswered. */
  get isAwaitingReply(): boolean {
    return this.#heartbeatSentAtMs !== undefined;
  }

  /** Time since the oldest unanswered heartbeat was sent, in milliseconds; 0 if there is none. */
  get silenceMs(): number {
    return this.#heartbeatSentAtMs === undefined
      ? 0
      : this.#clock.monotonicMs() - this.#heartbeatSentAtMs;
  }

  /** Time since data was received or a heartbeat was sent, in milliseconds. */
  get idleMs(): number {
    return this.#clock.monotonicMs() - this.#lastActivityMs;
  }

  /** Records that data was received from the peer. */
  recordReceived(): void {
    this.#heartbeatSentAtMs = undefined;
    this.#lastActivityMs = this.#clock.monotonicMs();
  }

  /** Records that a heartbeat was sent. */
  recordHeartbeatSent(): void {
    this.#heartbeatSentAtMs ??= this.#clock.monotonicMs();
    this.#lastActivityMs = this.#clock.monotonicMs();
  }

  /** Detects pauses of this daemon; must be called at each tick, before `silenceMs` is read. */
  tick(): void {
    const nowMs = this.#clock.monotonicMs();
    const elapsedMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    if (this.#heartbeatSentAtMs === undefined) {
      return;
    }
    const isResumed = elapsedMs > this.#tickIntervalMs * MAX_MISSED_TICKS;
    const latenessMs = Math.max(0, elapsedMs - this.#tickIntervalMs);
    this.#heartbeatSentAtMs = isResumed
      ? nowMs
      : Math.min(nowMs, this.#heartbeatSentAtMs + latenessMs);
  }
}
