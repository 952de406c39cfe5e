/**
 * Counting of requests by period and class while a run of load goes on.
 */

import { build as buildHistogram } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { FINAL_OUTCOMES } from "./load_report.ts";
import type {
  ClassCounts,
  FinalOutcome,
  LoadBucket,
  LoadReport,
} from "./load_report.ts";

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_LATENCY_MICROSECONDS = 60_000_000;

/** How one request ended. */
export interface RequestEnd {
  readonly requestId: string;
  readonly className: string;
  /** Times after the begin of the run, in milliseconds. */
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly attempts: number;
  readonly outcome: FinalOutcome;
  /** Reason of the last attempt; empty for an answer. */
  readonly reason: string;
}

/** Counts requests. */
export class LoadRecorder {
  readonly #bucketMs: number;
  readonly #buckets: Record<string, ClassCounts>[] = [];
  readonly #latencies: Record<string, Histogram> = {};
  readonly #answeredIds = new Set<string>();

  constructor(bucketMs: number) {
    this.#bucketMs = bucketMs;
  }

  /** Counts one request that has ended. */
  record(end: RequestEnd): void {
    const counts = this.#findCounts(end.startedAtMs, end.className);
    counts.offered += 1;
    counts.attempts += end.attempts;
    counts.outcomes[end.outcome] += 1;
    if (end.outcome !== FINAL_OUTCOMES.answered) {
      counts.reasons[end.reason] = (counts.reasons[end.reason] ?? 0) + 1;
      return;
    }
    this.#findCounts(end.endedAtMs, end.className).completed += 1;
    this.#answeredIds.add(end.requestId);
    this.#recordLatency(end.className, end.endedAtMs - end.startedAtMs);
  }

  /** Everything counted so far. */
  createReport(phaseStartsMs: Readonly<Record<string, number>>): LoadReport {
    const buckets = Array.from(this.#buckets, (byClass, index): LoadBucket => ({
      startMs: index * this.#bucketMs,
      byClass: byClass ?? {},
    }));
    return {
      bucketMs: this.#bucketMs,
      buckets,
      phaseStartsMs,
      latencyByClass: this.#latencies,
      answeredIds: this.#answeredIds,
    };
  }

  #findCounts(atMs: number, className: string): ClassCounts {
    const index = Math.floor(atMs / this.#bucketMs);
    const bucket = this.#buckets[index] ??= {};
    return bucket[className] ??= createCounts();
  }

  #recordLatency(className: string, durationMs: number): void {
    const histogram = this.#latencies[className] ??= buildHistogram({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_LATENCY_MICROSECONDS,
      numberOfSignificantValueDigits: 3,
    });
    histogram.recordValue(
      Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS)),
    );
  }
}

function createCounts(): ClassCounts {
  return {
    offered: 0,
    attempts: 0,
    outcomes: { answered: 0, failed: 0, refused: 0, unknown: 0, lost: 0 },
    reasons: {},
    completed: 0,
  };
}
