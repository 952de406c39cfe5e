/**
 * Records of changes of the limit and of the admitted shares.
 */

import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";

/** Change of the lowest admitted share that is recorded. */
const RECORDED_CHANGE = 0.1;

/** Where changes are recorded. */
export interface AdmissionRecords {
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
}

/** What a share was computed from. */
export interface LevelFacts {
  readonly demandPerSecond: number;
  readonly capacityPerSecond: number;
  readonly queueDelayMs: number;
  readonly holdMs: number;
}

/** Records what has changed by more than a little. */
export class AdmissionJournal {
  readonly #records: AdmissionRecords;
  #limit = 0;
  #lowestRatio = 1;

  constructor(records: AdmissionRecords) {
    this.#records = records;
  }

  /** Takes the limit in force. */
  recordLimit(limit: number, holdMs: number): void {
    if (limit === this.#limit) {
      return;
    }
    this.#records.journal.record(DECISIONS.limitChange, {
      from: this.#limit,
      to: limit,
      holdMs: Math.round(holdMs),
    });
    this.#limit = limit;
  }

  /** Takes the shares that entries are asked to admit, by class rank. */
  recordLevel(ratios: readonly number[], facts: LevelFacts): void {
    const { journal, metrics } = this.#records;
    ratios.forEach((ratio, rank) =>
      metrics.admitRatio.set({ rank: String(rank) }, ratio)
    );
    const lowestRatio = Math.min(1, ...ratios);
    const isClosingOrOpening = (lowestRatio < 1) !== (this.#lowestRatio < 1);
    const change = Math.abs(lowestRatio - this.#lowestRatio);
    if (!isClosingOrOpening && change < RECORDED_CHANGE) {
      return;
    }
    this.#lowestRatio = lowestRatio;
    journal.record(DECISIONS.admitLevelChange, {
      ratios: ratios.map((ratio) => ratio.toFixed(2)).join(" "),
      demandPerSecond: Math.round(facts.demandPerSecond),
      capacityPerSecond: Math.round(facts.capacityPerSecond),
      queueDelayMs: Math.round(facts.queueDelayMs),
      holdMs: Math.round(facts.holdMs),
    });
  }
}
