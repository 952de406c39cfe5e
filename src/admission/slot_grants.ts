/**
 * Grants slots of a backend server, and learns from each call that gives its
 * slot back.
 */

import type { MomentarySlowness } from "../slowness/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { AdmissionJournal } from "./admission_journal.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { Permit } from "./inbound_admission.ts";
import type { RequestPacer } from "./request_pacer.ts";
import type { SlotTracker } from "./slot_tracker.ts";
import type { WaitingCall } from "./waiting_call.ts";
import type { Waiter, WaitingQueue } from "./waiting_queue.ts";

/** Dependencies of the grants. */
export interface SlotGrantsOptions {
  readonly clock: Clock;
  readonly limit: ConcurrencyLimit;
  readonly pacer: RequestPacer;
  readonly queue: WaitingQueue<WaitingCall>;
  readonly slots: SlotTracker;
  readonly slowness: MomentarySlowness;
  readonly journal: AdmissionJournal;
  /** Called when a slot has been granted. */
  readonly onGranted: () => void;
  /** Called when a slot has been given back. */
  readonly onReleased: () => void;
}

/** Grants slots to calls. */
export class SlotGrants {
  readonly #options: SlotGrantsOptions;

  constructor(options: SlotGrantsOptions) {
    this.#options = options;
  }

  /** Grants a slot to a call, and charges it to its share. */
  grant(
    { classRank, isNested, open }: Pick<
      Waiter,
      "classRank" | "isNested" | "open"
    >,
  ): Permit {
    const { clock, share, kind } = open;
    const { journal, limit, pacer, queue, slots, slowness } = this.#options;
    const holdMs = slots.estimateHoldMs(classRank);
    const running = slots.begin({ classRank, isNested });
    pacer.take();
    const concurrency = slots.running.count;
    clock.charge(share, { nowMs: running.startedAtMs, holdMs });
    this.#options.onGranted();
    return {
      release: (completion) => {
        const nowMs = this.#options.clock.monotonicMs();
        const slownessRatio = slowness.getRatio(nowMs);
        slots.end(running, { ...completion, slownessRatio });
        clock.close(share, completion.durationMs - holdMs);
        // Under a limit of requests, calls tell nothing of how many slots there are.
        if (!pacer.isLimited) {
          limit.observe({
            // A VM that is slow at the moment says nothing of the right limit.
            ownDurationMs: completion.ownDurationMs / slownessRatio,
            isShed: completion.isShed,
            isSaturated: queue.length > 0,
            concurrency,
            kind,
          });
        }
        journal.recordLimit(limit.value, slots.holdMs);
        this.#options.onReleased();
      },
    };
  }
}
