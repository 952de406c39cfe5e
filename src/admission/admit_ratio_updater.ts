/**
 * Keeps the admit ratios of a backend server up to date with its demand, its
 * idle time and the calls that wait in vain.
 */

import type { ProcessorLoad } from "../event_loop/mod.ts";
import type { AdmissionJournal } from "./admission_journal.ts";
import { AdmitRatioController } from "./admit_ratio_controller.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import { DemandWindow } from "./demand_window.ts";
import { IdleMeter } from "./idle_meter.ts";
import { LateCallMeter } from "./late_call_meter.ts";
import { ProcessorCapacity } from "./processor_capacity.ts";
import type { QueueEstimator } from "./queue_estimator.ts";
import type { SlotTracker } from "./slot_tracker.ts";

const MS_PER_SECOND = 1_000;

/** What the ratios are computed from, besides the demand. */
export interface AdmitRatioUpdaterOptions {
  readonly limit: ConcurrencyLimit;
  readonly slots: SlotTracker;
  readonly estimator: QueueEstimator;
  readonly journal: AdmissionJournal;
  readonly processor: ProcessorLoad;
  /** Lists the share of the limit reserved for each class, the most important first. */
  readonly listReservedRatios: () => readonly number[];
}

/** Gathers the figures behind the admit ratios, and updates the ratios when due. */
export class AdmitRatioUpdater {
  readonly controller = new AdmitRatioController();
  readonly demand = new DemandWindow();
  readonly idle = new IdleMeter();
  readonly lateCalls = new LateCallMeter();
  readonly processorCapacity: ProcessorCapacity;
  readonly #options: AdmitRatioUpdaterOptions;

  constructor(options: AdmitRatioUpdaterOptions) {
    this.#options = options;
    this.processorCapacity = new ProcessorCapacity(options.processor);
  }

  /**
   * Updates the ratios if they are due. If they were updated, calls
   * `refuseLate` before it records them.
   */
  update(nowMs: number, refuseLate: () => void): void {
    if (!this.controller.isDue(nowMs)) {
      return;
    }
    const { estimator, limit, processor, slots } = this.#options;
    const reservedRatios = this.#options.listReservedRatios();
    const holdTimesMs = reservedRatios.map((_, rank) =>
      slots.estimateHoldMs(rank)
    );
    const isUpdated = this.controller.update({
      nowMs,
      demands: () => this.demand.estimate(nowMs, reservedRatios.length),
      slots: limit.value,
      holdTimesMs,
      queueDelayMs: estimator.delayMs,
      msPerCall: estimator.msPerCall,
      spareMs: estimator.spareMs,
      isIdle: () => this.idle.read(nowMs),
      reservedRatios,
      usableRatio: this.lateCalls.update(nowMs),
      estimateProcessorSlots: (demands) =>
        this.processorCapacity.estimateSlots(demands, {
          ...{ nowMs, holdTimesMs, holdMs: slots.holdMs },
        }),
    });
    if (isUpdated) {
      refuseLate();
      this.#options.journal.recordAdmitRatios(this.controller.ratios, {
        demandPerSecond: this.controller.demandPerSecond,
        capacityPerSecond: MS_PER_SECOND / estimator.msPerCall,
        queueDelayMs: estimator.delayMs,
        spareMs: estimator.spareMs,
        holdMs: slots.holdMs,
        ...{ processor, isProcessorScarce: this.processorCapacity.isScarce },
      });
    }
  }
}
