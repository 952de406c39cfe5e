/**
 * Records changes of the concurrency limit and of the admit ratios in the
 * decision journal and the metrics.
 */

import type { ProcessorLoad } from "../event_loop/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { WaitingCall } from "./waiting_call.ts";

/** Smallest change of the lowest admit ratio that is recorded. */
const MIN_RECORDED_CHANGE = 0.1;

/** What bounds the time that a call may wait for a slot. */
const WAIT_BOUNDS = {
  deadline: "deadline",
  standingQueue: "standing-queue",
} as const;

/** Figures by which a call was handed back. */
export interface HandBackEstimate {
  readonly slownessRatio: number;
  readonly waiting: number;
  readonly usualHoldMs: number;
}

/** Journal and metrics that changes are recorded in. */
export interface AdmissionTelemetry {
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
}

/** Load figures that the admit ratios were computed from. */
export interface LoadEstimate {
  readonly demandPerSecond: number;
  readonly capacityPerSecond: number;
  readonly queueDelayMs: number;
  /** Time that most nested calls have beyond their hold time, from which the target delay follows. */
  readonly spareMs: number;
  readonly holdMs: number;
  readonly processor: ProcessorLoad;
  /** Whether the ratios follow from the processor time of the daemon. */
  readonly isProcessorScarce: boolean;
}

/** Records limit changes and significant changes of the admit ratios. */
export class AdmissionJournal {
  readonly #telemetry: AdmissionTelemetry;
  #limit = 0;
  #lowestRatio = 1;

  constructor(telemetry: AdmissionTelemetry) {
    this.#telemetry = telemetry;
  }

  /** Records the concurrency limit if it has changed. */
  recordLimit(limit: number, holdMs: number): void {
    if (limit === this.#limit) {
      return;
    }
    this.#telemetry.journal.record(DECISIONS.limitChange, {
      from: this.#limit,
      to: limit,
      holdMs: Math.round(holdMs),
    });
    this.#limit = limit;
  }

  /** Records that a waiting call was refused in favor of one of an account with less use. */
  recordDisplacement(
    { className, member, requestId }: WaitingCall,
    by: WaitingCall,
  ): void {
    const { journal, metrics } = this.#telemetry;
    metrics.accountRefusals.inc({ class: className, stage: "queue" });
    journal.record(DECISIONS.accountDisplacement, {
      class: className,
      account: member,
      byAccount: by.member,
    }, requestId);
  }

  /** Counts a call that got no slot in the time that it was allowed to wait. */
  recordUnservedWait({ className, isWaitCapped }: WaitingCall): void {
    this.#telemetry.metrics.unservedWaits.inc({
      class: className,
      bound: isWaitCapped ? WAIT_BOUNDS.standingQueue : WAIT_BOUNDS.deadline,
    });
  }

  /** Records the momentary slowness of the VM. */
  recordSlowness(slownessRatio: number): void {
    this.#telemetry.metrics.slowness.set(slownessRatio);
  }

  /** Records that a call was handed back, to be run on another instance. */
  recordHandBack(estimate: HandBackEstimate): void {
    this.#telemetry.metrics.handBacks.inc();
    this.#telemetry.journal.record(DECISIONS.handBack, {
      slownessRatio: Number(estimate.slownessRatio.toFixed(2)),
      waiting: estimate.waiting,
      usualHoldMs: Math.round(estimate.usualHoldMs),
    });
  }

  /** Updates the metrics, and journals the admit ratios, by class rank, if the lowest has changed significantly. */
  recordAdmitRatios(ratios: readonly number[], estimate: LoadEstimate): void {
    const { journal, metrics } = this.#telemetry;
    ratios.forEach((ratio, rank) =>
      metrics.admitRatio.set({ rank: String(rank) }, ratio)
    );
    const lowestRatio = Math.min(1, ...ratios);
    const startsOrStopsRefusing = (lowestRatio < 1) !== (this.#lowestRatio < 1);
    const change = Math.abs(lowestRatio - this.#lowestRatio);
    if (!startsOrStopsRefusing && change < MIN_RECORDED_CHANGE) {
      return;
    }
    this.#lowestRatio = lowestRatio;
    journal.record(DECISIONS.admitLevelChange, {
      ratios: ratios.map((ratio) => ratio.toFixed(2)).join(" "),
      demandPerSecond: Math.round(estimate.demandPerSecond),
      capacityPerSecond: Math.round(estimate.capacityPerSecond),
      queueDelayMs: Math.round(estimate.queueDelayMs),
      spareMs: Math.round(estimate.spareMs),
      holdMs: Math.round(estimate.holdMs),
      limitedBy: estimate.isProcessorScarce ? "processor" : "slots",
      loopUtilization: Number(estimate.processor.utilization.toFixed(2)),
      loopDelayMs: Math.round(estimate.processor.delayMs),
      isLoopSaturated: estimate.processor.isSaturated,
    });
  }
}
