/**
 * Registry of the backend server on this VM, built from its announcements.
 */

import { ANNOUNCEMENT_TIMEOUT_MS } from "../constants/mod.ts";
import type { Announcement } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";
import { AnnouncementOrder, VERDICTS } from "./announcement_order.ts";
import { DepartureList } from "./departure_list.ts";
import type { Departure } from "./departure_list.ts";

/** State of the backend server on this VM. */
export const BACKEND_STATES = {
  absent: "absent",
  serving: "serving",
  leaving: "leaving",
} as const;

/** One of {@link BACKEND_STATES}. */
export type BackendState = (typeof BACKEND_STATES)[keyof typeof BACKEND_STATES];

/** Identifies the process of a backend server that is leaving; unset fields match any. */
export type ServerIdentity = Partial<
  Pick<Announcement, "instanceId" | "startedAtMs">
>;

/** A backend server that leaves; unset fields match any. */
export type LeavingServer = Partial<Departure>;

/** Holds the latest announcement and tracks whether it is still valid. */
export class BackendRegistry {
  readonly #clock: Clock;
  readonly #timeoutMs: number;
  readonly #listeners = new Set<() => void>();
  readonly #departures = new DepartureList();
  readonly #order: AnnouncementOrder;
  /** Whether an earlier process may know of departures that this one does not. */
  #isAwaitingDepartures = false;
  #announcement: Announcement | undefined;
  #renewedAtMs = 0;
  #warmAtMs = 0;
  #leavingSinceMs: number | undefined;
  #isDrained = false;
  #isUnreachable = false;
  #serverCount = 0;
  #announcementCount = 0;

  constructor(clock: Clock, timeoutMs = ANNOUNCEMENT_TIMEOUT_MS) {
    this.#clock = clock;
    this.#timeoutMs = timeoutMs;
    this.#order = new AnnouncementOrder(clock);
  }

  /** The latest announcement, which is kept while the backend server is leaving or absent. */
  get announcement(): Announcement | undefined {
    return this.#announcement;
  }

  /** Whether there is a backend server, and whether it accepts new calls. */
  get state(): BackendState {
    if (!this.#announcement) {
      return BACKEND_STATES.absent;
    }
    if (this.#isDrained || this.#leavingSinceMs !== undefined) {
      return BACKEND_STATES.leaving;
    }
    const ageMs = this.#clock.monotonicMs() - this.#renewedAtMs;
    return ageMs <= this.#timeoutMs && !this.#isUnreachable
      ? BACKEND_STATES.serving
      : BACKEND_STATES.absent;
  }

  /** Number of backend servers, one after the other, that announced themselves to this process. */
  get serverCount(): number {
    return this.#serverCount;
  }

  /** Number of announcements that were accepted, renewals included. */
  get announcementCount(): number {
    return this.#announcementCount;
  }

  /** Whether an announcement is from the server that announced itself last. */
  isCurrent({ port, instanceId, startedAtMs }: Announcement): boolean {
    const current = this.#announcement;
    return current?.port === port && current.instanceId === instanceId &&
      current.startedAtMs === startedAtMs;
  }

  /** Whether the announced server said that it leaves; unlike {@link state}, this does not depend on a drain of the daemon. */
  get isServerLeaving(): boolean {
    return this.#leavingSinceMs !== undefined;
  }

  /** The server that left last, if it has an id. */
  get departure(): Departure | undefined {
    return this.departures.at(-1);
  }

  /** The latest servers that left and have an id, the last one at the end. */
  get departures(): readonly Departure[] {
    return this.#departures.list();
  }

  /** Whether a departure is known already. */
  hasDeparted(departure: Departure): boolean {
    return this.#departures.covers(departure);
  }

  /** Time at which the cold start of the backend server ends, in milliseconds since the epoch. */
  get warmAtMs(): number {
    return this.#warmAtMs;
  }

  /**
   * Records an announcement or its renewal. Renewals from a backend server that
   * is leaving are ignored. An announcement from another port or process, or
   * after the timeout, is taken as coming from its replacement.
   */
  announce(announcement: Announcement): void {
    if (this.#hasLeft(announcement)) {
      return;
    }
    const verdict = this.#order.judge(announcement, {
      current: this.#announcement,
      needsProof: this.#isAwaitingDepartures,
    });
    if (verdict === VERDICTS.held) {
      return;
    }
    const isNew = this.#isFromNewServer(announcement);
    if (this.#leavingSinceMs !== undefined && !isNew) {
      return;
    }
    const warmAtMs = this.#clock.nowMs() + announcement.coldStartMs;
    this.#warmAtMs = isNew ? warmAtMs : Math.min(this.#warmAtMs, warmAtMs);
    if (isNew) {
      this.#serverCount += 1;
      this.#leavingSinceMs = undefined;
    }
    this.#announcement = announcement;
    this.#announcementCount += 1;
    this.#isUnreachable = false;
    this.#renewedAtMs = this.#clock.monotonicMs();
    this.#notify();
  }

  /** Records that the backend server refuses connections; it is absent until it announces itself again. */
  markUnreachable(): void {
    if (!this.#isUnreachable) {
      this.#isUnreachable = true;
      this.#notify();
    }
  }

  /** Records that the backend server accepts no new calls; the identity of another process keeps the current one. */
  leave(
    { instanceId, startedAtMs, includesEarlier }: LeavingServer = {},
  ): void {
    const current = this.#announcement;
    const isSameId = instanceId === undefined ||
      instanceId === current?.instanceId;
    const isSameStart = startedAtMs === undefined ||
      startedAtMs === current?.startedAtMs ||
      (includesEarlier && (current?.startedAtMs ?? Infinity) <= startedAtMs);
    if (isSameId && isSameStart) {
      this.#leavingSinceMs ??= this.#clock.monotonicMs();
      const { instanceId: id, startedAtMs: startMs } = current ?? {};
      this.#recordDeparture({ instanceId: id, startedAtMs: startMs });
    } else {
      this.#recordDeparture({ instanceId, startedAtMs, includesEarlier });
    }
    this.#notify();
  }

  /**
   * Holds back the first server until {@link receiveDepartures} is called or it
   * announces itself once more: its announcement may have been sent before it
   * left, and an earlier process may have confirmed that.
   */
  awaitDepartures(): void {
    this.#isAwaitingDepartures = true;
  }

  /** Records the departures that earlier processes have confirmed, all that are known anywhere. */
  receiveDepartures(departures: readonly Departure[]): void {
    departures.forEach((departure) => this.leave(departure));
    this.#isAwaitingDepartures = false;
    const held = this.#announcement ? undefined : this.#order.takeHeld();
    if (held) {
      this.announce(held);
    }
  }

  /** Stops new calls to this VM regardless of announcements, on behalf of an operator or of the stopping daemon. */
  drain(): void {
    this.#isDrained = true;
    this.#notify();
  }

  /** Reverts a drain; a backend server that announced that it is leaving stays leaving. */
  undrain(): void {
    this.#isDrained = false;
    this.#notify();
  }

  /** Calls `listener` on each change; returns a function that unsubscribes it. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #recordDeparture(
    { instanceId, startedAtMs, includesEarlier }: LeavingServer,
  ): void {
    if (instanceId === undefined) {
      return;
    }
    this.#departures.add(
      startedAtMs === undefined
        ? {
          ...{ instanceId, startedAtMs: this.#clock.nowMs() },
          includesEarlier: true,
        }
        : { instanceId, startedAtMs, includesEarlier },
    );
  }

  /** Whether an announcement is from a server that has left. */
  #hasLeft({ instanceId, startedAtMs }: Announcement): boolean {
    return instanceId !== undefined && startedAtMs !== undefined &&
      this.#departures.includes({ instanceId, startedAtMs });
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
    const sinceMs = this.#leavingSinceMs ?? this.#renewedAtMs;
    return this.#clock.monotonicMs() - sinceMs > this.#timeoutMs;
  }

  #notify(): void {
    for (const listener of this.#listeners) {
      listener();
    }
  }
}
