/**
 * How long large responses of each kind are held, and when those held now are
 * likely to be released.
 *
 * A caller that reads slowly holds its response for seconds. Until the first of
 * such responses is released, the rate of releases tells nothing, but the times
 * for which earlier ones were held do.
 */

import type { Clock } from "../time/mod.ts";

/** Weight of the latest hold in the average of its kind. */
const LATEST_RATIO = 0.3;

/** Maximum number of kinds that are remembered. */
const MAX_KINDS = 2_000;

/** Longest forecast, in milliseconds; a caller that is told to stay away for longer misses room that becomes free earlier. */
const MAX_FORECAST_MS = 30_000;

interface Hold {
  readonly kind: string;
  readonly bytes: number;
  /** Start, in monotonic milliseconds. */
  readonly sinceMs: number;
}

/** Records the holds of large responses. */
export class LargeHolds {
  readonly #clock: Clock;
  readonly #current = new Set<Hold>();
  readonly #averageMsByKind = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that bytes are held for a response of a kind. Returns a function that records their release. */
  begin(kind: string, bytes: number): () => void {
    const hold = { kind, bytes, sinceMs: this.#clock.monotonicMs() };
    this.#current.add(hold);
    return () => this.#end(hold);
  }

  /** Average time for which responses of a kind were held lately, in milliseconds; undefined if none has been released. */
  getAverageMs(kind: string): number | undefined {
    return this.#averageMsByKind.get(kind);
  }

  /** Age of the oldest hold of a kind, in milliseconds; 0 if nothing is held. */
  getOldestMs(kind: string): number {
    for (const hold of this.#current) {
      if (hold.kind === kind) {
        return this.#clock.monotonicMs() - hold.sinceMs;
      }
    }
    return 0;
  }

  /** Forecasts when `bytes` of those held now are released, in milliseconds; undefined if earlier holds do not tell. */
  forecastMs(bytes: number): number | undefined {
    const nowMs = this.#clock.monotonicMs();
    const releases = [...this.#current].flatMap((hold) => {
      const averageMs = this.#averageMsByKind.get(hold.kind);
      return averageMs === undefined ? [] : [{
        bytes: hold.bytes,
        remainingMs: Math.max(0, hold.sinceMs + averageMs - nowMs),
      }];
    }).sort((a, b) => a.remainingMs - b.remainingMs);
    let releasedBytes = 0;
    for (const release of releases) {
      releasedBytes += release.bytes;
      if (releasedBytes >= bytes) {
        return Math.min(MAX_FORECAST_MS, release.remainingMs);
      }
    }
    return undefined;
  }

  #end(hold: Hold): void {
    const { kind, sinceMs } = hold;
    if (!this.#current.delete(hold)) {
      return;
    }
    const heldMs = this.#clock.monotonicMs() - sinceMs;
    const earlierMs = this.#averageMsByKind.get(kind) ?? heldMs;
    this.#averageMsByKind.delete(kind);
    this.#averageMsByKind.set(
      kind,
      earlierMs + (heldMs - earlierMs) * LATEST_RATIO,
    );
    if (this.#averageMsByKind.size > MAX_KINDS) {
      const [oldest = ""] = this.#averageMsByKind.keys();
      this.#averageMsByKind.delete(oldest);
    }
  }
}
