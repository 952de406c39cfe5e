/**
 * A timer shared by the heartbeats of all connections of a daemon.
 */

import { HEARTBEAT_INTERVAL_MS } from "../constants/mod.ts";
import type { Clock } from "../time/mod.ts";

/** Calls its listeners once per heartbeat interval; runs only while there are any. */
export class HeartbeatTimer {
  readonly #clock: Clock;
  readonly #listeners = new Set<() => void>();
  #stop: (() => void) | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds a listener and returns a function that removes it. */
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
