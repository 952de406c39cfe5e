/**
 * Bound of the bytes that a process holds for the calls that it serves: bodies
 * of requests and responses, on whichever connection they arrive.
 *
 * Bytes are acquired before they are read, so that a sender waits on its
 * connection while there is no room. Large bodies leave a part of the budget to
 * small ones, which are therefore not held up by them. Among the waiting ones,
 * the more important go first, and then those that have waited longest.
 */

import type { CallSignal } from "../cancellation/mod.ts";
import type { Clock } from "../time/mod.ts";
import { GarbageCollection } from "./garbage_collection.ts";
import { LargeHolds } from "./large_holds.ts";
import { ReleaseRate } from "./release_rate.ts";

/** Largest body that may use the whole budget, in bytes. */
const MAX_SMALL_BYTES = 65_536;

/** Share of the budget that large bodies may use. */
const LARGE_BODY_RATIO = 0.9;

/** Rank of responses of calls that have run, which go before all calls that have not. */
export const RESPONSE_RANK = -1;

/** Time for which a waiting body may hold up others that have room, in milliseconds. */
const MAX_BLOCKING_MS = 250;

/** Options of a {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
  readonly clock: Clock;
  /** Bytes that may be held at a time; Infinity for no bound. */
  readonly capacityBytes: number;
}

/** Options of an acquisition. */
export interface AcquireOptions {
  /** Gives up waiting when aborted. */
  readonly signal: CallSignal;
  /** Rank of the call's class; 0 is the most important. */
  readonly classRank?: number | undefined;
  /** Longest wait, in milliseconds; no limit if absent. */
  readonly maxWaitMs?: number | undefined;
}

interface Waiter {
  readonly bytes: number;
  readonly classRank: number;
  /** Start of the wait, in monotonic milliseconds. */
  readonly sinceMs: number;
  readonly settle: (isAcquired: boolean) => void;
}

/** Counts the bytes that a process holds, and lets callers wait for room. */
export class MemoryBudget {
  readonly #clock: Clock;
  readonly #releaseRate: ReleaseRate;
  readonly #garbage = new GarbageCollection();
  readonly #waiters: Waiter[] = [];
  /** Large responses that are held, and for how long. */
  readonly holds: LargeHolds;
  /** Bytes that may be held at a time. */
  readonly capacityBytes: number;
  #heldBytes = 0;
  #waitingBytes = 0;
  /** Number of acquisitions that were given up. */
  failedCount = 0;

  constructor({ clock, capacityBytes }: MemoryBudgetOptions) {
    this.#clock = clock;
    this.capacityBytes = capacityBytes;
    this.#releaseRate = new ReleaseRate(clock);
    this.holds = new LargeHolds(clock);
  }

  /** Bytes held now. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Bytes of the acquisitions that wait. */
  get waitingBytes(): number {
    return this.#waitingBytes;
  }

  /** Size of the largest body that can be held, in bytes. */
  get maxBodyBytes(): number {
    return Math.floor(this.capacityBytes * LARGE_BODY_RATIO);
  }

  /** Acquires bytes if there is room at once. */
  tryAcquire(
    bytes: number,
    classRank: number = Number.POSITIVE_INFINITY,
  ): boolean {
    const isAcquired = !this.#isPreceded(bytes, classRank) &&
      this.#hasRoom(bytes);
    this.#heldBytes += isAcquired ? bytes : 0;
    return isAcquired;
  }

  /** Acquires bytes, waiting for room if needed. Resolves to whether they were acquired; never so if they exceed what one body may use. */
  acquire(bytes: number, options: AcquireOptions): Promise<boolean> {
    const { signal, classRank = Number.POSITIVE_INFINITY, maxWaitMs } = options;
    if (
      signal.aborted || bytes > Math.max(this.maxBodyBytes, MAX_SMALL_BYTES)
    ) {
      this.failedCount += 1;
      return Promise.resolve(false);
    }
    if (this.tryAcquire(bytes, classRank)) {
      return Promise.resolve(true);
    }
    return new Promise((resolve) => {
      const giveUp = () => this.#giveUp(waiter);
      const cancelTimer = maxWaitMs === undefined
        ? () => undefined
        : this.#clock.schedule(maxWaitMs, giveUp);
      const waiter: Waiter = {
        bytes,
        classRank,
        sinceMs: this.#clock.monotonicMs(),
        settle: (isAcquired) => {
          cancelTimer();
          signal.removeEventListener("abort", giveUp);
          resolve(isAcquired);
        },
      };
      signal.addEventListener("abort", giveUp);
      this.#insert(waiter);
    });
  }

  /** Counts bytes that have been received already and can't be sent back. */
  force(bytes: number): void {
    this.#heldBytes += bytes;
  }

  /** Gives bytes back, and admits those that wait for them. */
  release(bytes: number): void {
    if (bytes === 0) {
      return;
    }
    this.#heldBytes -= bytes;
    this.#releaseRate.record(bytes);
    this.#garbage.recordReleased(bytes);
    this.#admitWaiting();
  }

  /** Estimates when `bytes` more have room, in milliseconds, from how long responses are held and from what was released lately. */
  estimateWaitMs(bytes: number): number {
    return this.forecastWaitMs(bytes) || this.#estimateByRateMs(bytes);
  }

  /** Forecasts when `bytes` more have room, in milliseconds, from how long responses are held; 0 if that is not known. */
  forecastWaitMs(bytes: number): number {
    const missingBytes = this.#heldBytes + this.#waitingBytes + bytes -
      this.maxBodyBytes;
    return this.holds.forecastMs(missingBytes) ?? 0;
  }

  #estimateByRateMs(bytes: number): number {
    return this.#releaseRate.estimateMs(this.#waitingBytes + bytes);
  }

  /** Whether another acquisition of the same kind waits that goes first. */
  #isPreceded(bytes: number, classRank: number): boolean {
    return this.#waiters.some((waiter) =>
      isLarge(waiter.bytes) === isLarge(bytes) &&
      waiter.classRank <= classRank && this.#mayBlock(waiter)
    );
  }

  /** Whether a body without room still holds up others; one that needs much would otherwise do so for long. */
  #mayBlock({ sinceMs }: Waiter): boolean {
    return this.#clock.monotonicMs() - sinceMs < MAX_BLOCKING_MS;
  }

  #hasRoom(bytes: number): boolean {
    const limitBytes = isLarge(bytes) ? this.maxBodyBytes : this.capacityBytes;
    return this.#heldBytes + bytes <= limitBytes;
  }

  #insert(waiter: Waiter): void {
    const index = this.#waiters.findIndex(({ classRank }) =>
      classRank > waiter.classRank
    );
    this.#waiters.splice(index < 0 ? this.#waiters.length : index, 0, waiter);
    this.#waitingBytes += waiter.bytes;
    if (isLarge(waiter.bytes)) {
      this.#clock.schedule(MAX_BLOCKING_MS, () => this.#admitWaiting());
    }
  }

  #admitWaiting(): void {
    let isLargeBlocked = false;
    for (let index = 0; index < this.#waiters.length;) {
      const waiter = this.#waiters[index];
      if (!waiter) {
        return;
      }
      const { bytes } = waiter;
      if ((isLargeBlocked && isLarge(bytes)) || !this.#hasRoom(bytes)) {
        if (!isLarge(bytes)) {
          return;
        }
        isLargeBlocked ||= this.#mayBlock(waiter);
        index += 1;
        continue;
      }
      this.#waiters.splice(index, 1);
      this.#waitingBytes -= bytes;
      this.#heldBytes += bytes;
      waiter.settle(true);
    }
  }

  #giveUp(waiter: Waiter): void {
    const index = this.#waiters.indexOf(waiter);
    if (index < 0) {
      return;
    }
    this.#waiters.splice(index, 1);
    this.#waitingBytes -= waiter.bytes;
    this.failedCount += 1;
    waiter.settle(false);
    this.#admitWaiting();
  }
}

function isLarge(bytes: number): boolean {
  return bytes > MAX_SMALL_BYTES;
}
