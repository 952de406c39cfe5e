/**
 * Decides whether a call of a class may use a slot now.
 */

import type { AdmitRatioController } from "./admit_ratio_controller.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import { countReservedSlots } from "./count_reserved_slots.ts";
import type { RequestPacer } from "./request_pacer.ts";
import type { SlotTracker } from "./slot_tracker.ts";

/** What the decision is based on. */
export interface SlotGateOptions {
  readonly limit: ConcurrencyLimit;
  readonly pacer: RequestPacer;
  readonly slots: SlotTracker;
  readonly ratioController: AdmitRatioController;
  /** Lists the share of the limit reserved for each class, the most important first. */
  readonly listReservedRatios: () => readonly number[];
}

/** Applies the limit, the pace and the reserved slots. */
export class SlotGate {
  readonly #options: SlotGateOptions;

  constructor(options: SlotGateOptions) {
    this.#options = options;
  }

  /** Whether a call of the class may use a slot now. */
  mayRun(classRank: number): boolean {
    const { pacer, ratioController, slots } = this.#options;
    const limit = Math.min(
      this.#options.limit.value,
      pacer.maxConcurrentRequests,
    );
    const freeSlots = limit - slots.running.count;
    return freeSlots > 0 && pacer.isOpen &&
      freeSlots > countReservedSlots(slots.running, {
          classRank,
          limit,
          reservedRatios: this.#options.listReservedRatios(),
          countNeededSlots: (rank) =>
            ratioController.countNeededSlots(rank, slots.estimateHoldMs(rank)),
        });
  }
}
