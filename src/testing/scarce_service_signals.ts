/**
 * Load signals of a service that is modelled by its capacity alone, for
 * {@link runManyEntries}: real estimates of demand, and real admit ratios.
 */

import { AdmitRatioController } from "../admission/admit_ratio_controller.ts";
import { createLoadSignal } from "../admission/create_load_signal.ts";
import { DemandWindow } from "../admission/demand_window.ts";
import { LateCallMeter } from "../admission/late_call_meter.ts";
import type { AdmissionMark, LoadSignal } from "../generated/types.ts";

/** Time for which a call holds a slot of the service, in milliseconds. */
const HOLD_MS = 50;

/** Share of the capacity that is left over from which the service counts as idle. */
const IDLE_RATIO = 0.25;

const MS_PER_SECOND = 1_000;

/** All requests reach the service through others. */
const NESTED = { isNested: true };

/** State of the service at one step. */
export interface ScarceServiceState {
  readonly nowMs: number;
  readonly capacityPerSecond: number;
  readonly waiting: number;
  /** Share of the capacity that was not used in the step. */
  readonly unusedRatio: number;
}

/** Admit ratios that a service asks entries for. */
export class ScarceServiceSignals {
  readonly #service: string;
  readonly #classes: number;
  readonly #demand = new DemandWindow();
  readonly #controller = new AdmitRatioController();
  readonly #lateCalls = new LateCallMeter();
  #sequence = 0;

  constructor(service: string, classes: number) {
    this.#service = service;
    this.#classes = classes;
  }

  /** Records a request that reaches the service. */
  recordArrival(
    classRank: number,
    { atMs, mark }: {
      readonly atMs: number;
      readonly mark: AdmissionMark | undefined;
    },
  ): void {
    const service = this.#service;
    this.#demand.record({ atMs, classRank, service, mark });
    this.#lateCalls.recordArrival(NESTED);
  }

  /** Records a request that got no slot in time. */
  recordLate(): void {
    this.#lateCalls.recordLate(NESTED);
  }

  /** Computes the signal that replies carry after a step. */
  update(
    { nowMs, capacityPerSecond, waiting, unusedRatio }: ScarceServiceState,
  ): LoadSignal {
    const msPerCall = MS_PER_SECOND / capacityPerSecond;
    const slots = HOLD_MS / msPerCall;
    this.#controller.update({
      ...{ nowMs, slots, msPerCall, queueDelayMs: waiting * msPerCall },
      demands: () => this.#demand.estimate(nowMs, this.#classes),
      holdTimesMs: Array<number>(this.#classes).fill(HOLD_MS),
      reservedRatios: Array<number>(this.#classes).fill(0),
      isIdle: () => unusedRatio > IDLE_RATIO,
      usableRatio: this.#lateCalls.update(nowMs),
    });
    this.#sequence += 1;
    return createLoadSignal({
      ...{ service: this.#service, instance: 1, sequence: this.#sequence },
      ...{ inFlight: Math.round(slots), queued: waiting },
      limit: Math.round(slots),
    }, this.#controller);
  }
}
