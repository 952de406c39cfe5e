/**
 * Expected waits in the queue of a backend server, and the calls that cannot get
 * a slot in time.
 */

import { computeStandingWaitMs } from "./compute_queue_timeout_ms.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { RequestPacer } from "./request_pacer.ts";
import type { SlotTracker } from "./slot_tracker.ts";
import type { TimeLeftEstimator } from "./time_left_estimator.ts";
import type { WaitingCall } from "./waiting_call.ts";
import type { OrderOptions, WaitingQueue } from "./waiting_queue.ts";

/** Largest expected queue delay at which a call is enqueued, as a share of its queue timeout. */
const MAX_ENQUEUE_DELAY_RATIO = 0.8;

/** Largest expected queue delay at which a queued call stays, as a share of its remaining queue timeout. */
const MAX_QUEUED_DELAY_RATIO = 1.25;

/** Queue delay above which the newest calls go first, in milliseconds. */
const NEWEST_FIRST_DELAY_MS = 100;

/** What the waits are estimated from. */
export interface QueueEstimatorOptions {
  readonly queue: WaitingQueue<WaitingCall>;
  readonly limit: ConcurrencyLimit;
  readonly pacer: RequestPacer;
  readonly slots: SlotTracker;
  readonly timeLeft: TimeLeftEstimator;
}

/** Estimates waits from the hold time of a slot, the limit and the pace. */
export class QueueEstimator {
  readonly #options: QueueEstimatorOptions;

  constructor(options: QueueEstimatorOptions) {
    this.#options = options;
  }

  /** Expected time between two calls that get a slot, in milliseconds. */
  get msPerCall(): number {
    const { limit, pacer, slots } = this.#options;
    return Math.max(
      pacer.intervalMs,
      slots.holdMs / Math.max(1, limit.value),
    );
  }

  /** The same on a VM that is as fast as usual, and without a pace. */
  get usualMsPerCall(): number {
    const { limit, slots } = this.#options;
    return slots.usualHoldMs / Math.max(1, limit.value);
  }

  /** Expected time until the queue is empty, in milliseconds. */
  get delayMs(): number {
    return this.#options.queue.length * this.msPerCall;
  }

  /** Expected wait of a call that arrives now, on a VM that is as fast as usual, in milliseconds. */
  get usualDelayMs(): number {
    const { limit, queue, slots } = this.#options;
    return (queue.length + 1) * slots.usualHoldMs / Math.max(1, limit.value);
  }

  /** Time that most nested calls have beyond their hold time, in milliseconds. */
  get spareMs(): number {
    const { slots, timeLeft } = this.#options;
    return Math.max(0, timeLeft.lowMs - slots.holdMs);
  }

  /** Order in which waiting calls get slots now. */
  get order(): OrderOptions {
    const { slots: { holdMs }, timeLeft } = this.#options;
    return {
      holdMs,
      // Below, serving nested calls by expiry serves them all, while the trees
      // with the highest ranks would wait until they expire.
      isByTree: this.delayMs > computeStandingWaitMs(holdMs, timeLeft.lowMs),
      isNewestFirst: this.delayMs > NEWEST_FIRST_DELAY_MS,
    };
  }

  /** Whether a call that arrives now is likely to get a slot before it expires. */
  canRunInTime(waiter: WaitingCall, nowMs: number): boolean {
    const { queue } = this.#options;
    const remainingMs = waiter.expiresAtMs - nowMs;
    const ahead = queue.countAhead(waiter, this.order);
    const delayMs = (ahead + 1) * this.msPerCall;
    return delayMs <= remainingMs * MAX_ENQUEUE_DELAY_RATIO;
  }

  /** Lists the waiting calls that more important ones have delayed too long. */
  listLate(nowMs: number): WaitingCall[] {
    const { msPerCall } = this;
    let delayMs = 0;
    return this.#options.queue.listInOrder(this.order).filter((waiter) => {
      delayMs += msPerCall;
      const remainingMs = waiter.expiresAtMs - nowMs;
      const isLate = delayMs > remainingMs * MAX_QUEUED_DELAY_RATIO;
      delayMs -= isLate ? msPerCall : 0;
      return isLate;
    });
  }
}
