/**
 * Decides which calls are handed back because this VM is slow at the moment.
 */

import { MomentarySlowness } from "../slowness/mod.ts";
import { finishesSoonerElsewhere } from "./finishes_sooner_elsewhere.ts";
import type { QueueEstimator } from "./queue_estimator.ts";
import type { SlotTracker } from "./slot_tracker.ts";
import type { WaitingCall } from "./waiting_call.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/** What the decision is based on, besides the slowness. */
export interface HandBackDeciderOptions {
  readonly queue: WaitingQueue<WaitingCall>;
  readonly slots: SlotTracker;
  readonly estimator: QueueEstimator;
}

/** Compares the completion of calls here and elsewhere. */
export class HandBackDecider {
  readonly slowness = new MomentarySlowness();
  readonly #options: HandBackDeciderOptions;

  constructor(options: HandBackDeciderOptions) {
    this.#options = options;
  }

  /** Whether a call would finish sooner elsewhere; never without a fresh slowness figure. */
  isHandedBack(
    { elsewhereMs }: { readonly elsewhereMs?: number | undefined },
    { waitMs, nowMs }: { readonly waitMs: number; readonly nowMs: number },
  ): boolean {
    return elsewhereMs !== undefined && this.slowness.isStated(nowMs) &&
      finishesSoonerElsewhere({
        waitMs,
        usualHoldMs: this.#options.slots.usualHoldMs,
        slownessRatio: this.slowness.getRatio(nowMs),
        elsewhereMs,
      });
  }

  /** Lists the waiting calls that would now finish sooner elsewhere. */
  listHandedBack(nowMs: number): WaitingCall[] {
    const { estimator, queue } = this.#options;
    const msPerCall = estimator.usualMsPerCall;
    let waitMs = 0;
    return queue.listInOrder(estimator.order).filter((waiter) => {
      waitMs += msPerCall;
      const isHandedBack = this.isHandedBack(waiter, { waitMs, nowMs });
      waitMs -= isHandedBack ? msPerCall : 0;
      return isHandedBack;
    });
  }
}
