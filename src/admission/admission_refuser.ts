/**
 * Refuses calls at a backend server, with the delay after which a retry may get
 * a slot.
 */

import { err } from "neverthrow";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";
import type { MomentarySlowness } from "../slowness/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { AdmissionJournal } from "./admission_journal.ts";
import type { QueueEstimator } from "./queue_estimator.ts";
import type { RequestPacer } from "./request_pacer.ts";
import type { SlotTracker } from "./slot_tracker.ts";
import type { AdmissionResult, WaitingCall } from "./waiting_call.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/** Lower bound of the suggested retry delay, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;

/** Dependencies of the refusals. */
export interface AdmissionRefuserOptions {
  readonly clock: Clock;
  readonly estimator: QueueEstimator;
  readonly journal: AdmissionJournal;
  readonly pacer: RequestPacer;
  readonly queue: WaitingQueue<WaitingCall>;
  readonly slots: SlotTracker;
  readonly slowness: MomentarySlowness;
}

/** Creates refusals, and records the calls that are handed back. */
export class AdmissionRefuser {
  readonly #options: AdmissionRefuserOptions;

  constructor(options: AdmissionRefuserOptions) {
    this.#options = options;
  }

  /** Refuses a call. */
  refuse(reason: Reason): AdmissionResult {
    const { estimator, pacer, slots } = this.#options;
    if (reason === REASONS.limitedInstance) {
      const retryAfterMs = Math.ceil(pacer.intervalMs);
      return err(createRefusal(reason, { retryAfterMs }));
    }
    if (reason === REASONS.slowInstance) {
      this.#recordHandBack();
    }
    const waitMs = estimator.delayMs + slots.holdMs;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
    return err(createRefusal(reason, { retryAfterMs }));
  }

  /** Refuses a call that has waited. One that waits in vain under a limit shows no overload; the other reasons that remain do not depend on the limit. */
  refuseWaiter(reason: Reason): AdmissionResult {
    const { pacer } = this.#options;
    return this.refuse(
      pacer.isLimited && reason !== REASONS.cancelled &&
        reason !== REASONS.leaving
        ? REASONS.limitedInstance
        : reason,
    );
  }

  #recordHandBack(): void {
    const { clock, journal, queue, slots, slowness } = this.#options;
    journal.recordHandBack({
      slownessRatio: slowness.getRatio(clock.monotonicMs()),
      waiting: queue.length,
      usualHoldMs: slots.usualHoldMs,
    });
  }
}
