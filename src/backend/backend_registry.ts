/**
 * What the backend server on this VM has announced.
 */

import { ANNOUNCEMENT_TIMEOUT_MS } from "../constants/mod.ts";
import type { Announcement } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";

/** State of the backend server on this VM. */
export const BACKEND_STATES = {
  absent: "absent",
  serving: "serving",
  leaving: "leaving",
} as const;

/** One of {@link BACKEND_STATES}. */
export type BackendState = (typeof BACKEND_STATES)[keyof typeof BACKEND_STATES];

/** Remembers the latest announcement and whether it still holds. */
export class BackendRegistry {
  readonly #clock: Clock;
  readonly #listeners = new Set<() => void>();
  #announcement: Announcement | undefined;
  #renewedAtMs = 0;
  #firstSeenAtMs = 0;
  #isLeaving = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The latest announcement, also while the backend server is leaving. */
  get announcement(): Announcement | undefined {
    return this.#announcement;
  }

  /** Whether a backend server is here and takes new work. */
  get state(): BackendState {
    if (!this.#announcement) {
      return BACKEND_STATES.absent;
    }
    if (this.#isLeaving) {
      return BACKEND_STATES.leaving;
    }
    const ageMs = this.#clock.monotonicMs() - this.#renewedAtMs;
    return ageMs <= ANNOUNCEMENT_TIMEOUT_MS
      ? BACKEND_STATES.serving
      : BACKEND_STATES.absent;
  }

  /** When the backend server serves at full speed, in milliseconds since the epoch. */
  get warmAtMs(): number {
    return this.#firstSeenAtMs + (this.#announcement?.coldStartMs ?? 0);
  }

  /** Takes an announcement or its renewal. */
  announce(announcement: Announcement): void {
    const isNew = this.state === BACKEND_STATES.absent ||
      this.#announcement?.port !== announcement.port;
    if (isNew) {
      this.#firstSeenAtMs = this.#clock.nowMs();
      this.#isLeaving = false;
    }
    this.#announcement = announcement;
    this.#renewedAtMs = this.#clock.monotonicMs();
    this.#notify();
  }

  /** The backend server takes no new work from now on. */
  leave(): void {
    this.#isLeaving = true;
    this.#notify();
  }

  /** Takes back a leave, when an operator undoes a drain. */
  stay(): void {
    this.#isLeaving = false;
    this.#notify();
  }

  /** Calls `listener` at each change until the result is called. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #notify(): void {
    for (const listener of this.#listeners) {
      listener();
    }
  }
}
