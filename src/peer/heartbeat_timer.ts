/**
 * One timer for the heartbeats of all connections of a daemon.
 */

import { HEARTBEAT_INTERVAL_MS } from "../constants/mod.ts";
import type { Clock } from "../time/mod.ts";

/** Calls each listener at every heartbeat interval. */
export class HeartbeatTimer {
  readonly #clock: Clock;
  readonly #listeners = new Set<() => void>();
  #stop: (() => void) | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds a listener; the result removes it. */
  add(listener: () => void): () => void {
    this.#listeners.add(listener);
    this.#stop ??= this.#clock.scheduleEvery(
      HEARTBEAT_INTERVAL_MS,
      () => this.#tick(),
    );
    return () => this.#remove(listener);
  }

  #tick(): void {
    for (const listener of [...this.#listeners]) {
      listener();
    }
  }

  #remove(listener: () => void): void {
    this.#listeners.delete(listener);
    if (this.#listeners.size === 0) {
      this.#stop?.();
      this.#stop = undefined;
    }
  }
}
