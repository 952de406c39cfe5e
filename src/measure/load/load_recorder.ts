/**
 * Collects the counts and latencies of a load run.
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

/** Result of a request. */
export interface RequestResult {
  readonly requestId: string;
  readonly className: string;
  /** Start and end in milliseconds since the start of the run. */
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly attempts: number;
  readonly outcome: FinalOutcome;
  /** Reason of the last attempt; not counted for answered requests. */
  readonly reason: string;
}

/** Counts requests by time bucket and class, and records latencies by class. */
export class LoadRecorder {
  readonly #bucketMs: number;
  readonly #buckets: Record<string, ClassCounts>[] = [];
  readonly #latencies: Record<string, Histogram> = {};
  readonly #answeredIds = new Set<string>();

  constructor(bucketMs: number) {
    this.#bucketMs = bucketMs;
  }

  /** Records a request that has ended. */
  record(result: RequestResult): void {
    const counts = this.#getOrCreateCounts(
      result.startedAtMs,
      result.className,
    );
    counts.offered += 1;
    counts.attempts += result.attempts;
    counts.outcomes[result.outcome] += 1;
    if (result.outcome !== FINAL_OUTCOMES.answered) {
      counts.reasons[result.reason] = (counts.reasons[result.reason] ?? 0) + 1;
      return;
    }
    this.#getOrCreateCounts(result.endedAtMs, result.className).completed += 1;
    this.#answeredIds.add(result.requestId);
    this.#recordLatency(
      result.className,
      result.endedAtMs - result.startedAtMs,
    );
  }

  /** Creates a report of everything recorded so far. */
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

  #getOrCreateCounts(atMs: number, className: string): ClassCounts {
    const index = Math.floor(atMs / this.#bucketMs);
    const bucket = this.#buckets[index] ??= {};
    return bucket[className] ??= createEmptyCounts();
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

function createEmptyCounts(): ClassCounts {
  return {
    offered: 0,
    attempts: 0,
    outcomes: { answered: 0, failed: 0, refused: 0, unknown: 0, lost: 0 },
    reasons: {},
    completed: 0,
  };
}
