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

/** Which backend server says farewell; the present one where nothing is given. */
export type LeavingServer = Partial<
  Pick<Announcement, "instanceId" | "startedAtMs">
>;

/** Remembers the latest announcement and whether it still holds. */
export class BackendRegistry {
  readonly #clock: Clock;
  readonly #timeoutMs: number;
  readonly #listeners = new Set<() => void>();
  #announcement: Announcement | undefined;
  #renewedAtMs = 0;
  #warmAtMs = 0;
  #leftAtMs: number | undefined;
  #isDrained = false;
  #isUnreachable = false;

  constructor(clock: Clock, timeoutMs = ANNOUNCEMENT_TIMEOUT_MS) {
    this.#clock = clock;
    this.#timeoutMs = timeoutMs;
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
    if (this.#isDrained || this.#leftAtMs !== undefined) {
      return BACKEND_STATES.leaving;
    }
    const ageMs = this.#clock.monotonicMs() - this.#renewedAtMs;
    return ageMs <= this.#timeoutMs && !this.#isUnreachable
      ? BACKEND_STATES.serving
      : BACKEND_STATES.absent;
  }

  /** When the backend server serves at full speed, in milliseconds since the epoch. */
  get warmAtMs(): number {
    return this.#warmAtMs;
  }

  /**
   * Takes an announcement or its renewal. Renewals by a backend server that is
   * leaving are ignored; after a while, or on another port, an announcement is
   * that of its replacement.
   */
  announce(announcement: Announcement): void {
    if (this.#isOutdated(announcement)) {
      return;
    }
    const isNew = this.#isFromNewServer(announcement);
    if (this.#leftAtMs !== undefined && !isNew) {
      return;
    }
    const warmAtMs = this.#clock.nowMs() + announcement.coldStartMs;
    this.#warmAtMs = isNew ? warmAtMs : Math.min(this.#warmAtMs, warmAtMs);
    if (isNew) {
      this.#leftAtMs = undefined;
    }
    this.#announcement = announcement;
    this.#isUnreachable = false;
    this.#renewedAtMs = this.#clock.monotonicMs();
    this.#notify();
  }

  /** The backend server refuses connections; it counts as absent until it announces itself again. */
  markUnreachable(): void {
    if (!this.#isUnreachable) {
      this.#isUnreachable = true;
      this.#notify();
    }
  }

  /** The backend server takes no new work from now on; a farewell of another lifetime is ignored. */
  leave({ instanceId, startedAtMs }: LeavingServer = {}): void {
    const known = this.#announcement;
    const isOther =
      (instanceId !== undefined && instanceId !== known?.instanceId) ||
      (startedAtMs !== undefined && startedAtMs !== known?.startedAtMs);
    if (isOther) {
      return;
    }
    this.#leftAtMs ??= this.#clock.monotonicMs();
    this.#notify();
  }

  /** An operator, or the stop of the daemon, lets the VM take no new work, whatever is announced. */
  drain(): void {
    this.#isDrained = true;
    this.#notify();
  }

  /** Takes back a drain. */
  undrain(): void {
    this.#isDrained = false;
    this.#leftAtMs = undefined;
    this.#notify();
  }

  /** Calls `listener` at each change until the result is called. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Whether an announcement was overtaken by one of the same lifetime, or comes from an earlier lifetime. */
  #isOutdated({ instanceId, startedAtMs, sequence }: Announcement): boolean {
    const known = this.#announcement;
    if (!known || startedAtMs === undefined || sequence === undefined) {
      return false;
    }
    const knownStartMs = known.startedAtMs ?? 0;
    const isSame = known.instanceId === instanceId &&
      knownStartMs === startedAtMs;
    return isSame
      ? sequence <= (known.sequence ?? -1)
      : startedAtMs < knownStartMs;
  }

  #isFromNewServer(announced: Announcement): boolean {
    const { port, instanceId, startedAtMs } = announced;
    if (!this.#announcement || this.#announcement.port !== port) {
      return true;
    }
    if (startedAtMs !== undefined) {
      return this.#announcement.startedAtMs !== startedAtMs ||
        this.#announcement.instanceId !== instanceId;
    }
    const sinceMs = this.#leftAtMs ?? this.#renewedAtMs;
    return this.#clock.monotonicMs() - sinceMs > this.#timeoutMs;
  }

  #notify(): void {
    for (const listener of this.#listeners) {
      listener();
    }
  }
}
