/**
 * Token buckets that bound retries on the edges from this daemon to services.
 *
 * Successes earn tokens, a retry spends one, so that a service which fails
 * altogether sees only what the bucket held and a slow trickle.
 */

import type { Clock } from "../time/mod.ts";

/** What one edge holds and gains. */
export interface EdgeBounds {
  /** Tokens that it can hold. */
  readonly maxTokens: number;
  /** Tokens of an edge that has not been used. */
  readonly initialTokens: number;
  /** Tokens that it gains each second without successes. */
  readonly refillPerSecond: number;
}

/** Bounds where the fleet as a whole has none. */
export const DEFAULT_EDGE_BOUNDS: EdgeBounds = {
  maxTokens: 10,
  initialTokens: 2,
  refillPerSecond: 0.2,
};

/** Edges that are remembered; the one used longest ago is forgotten first. */
const MAX_EDGES = 2_000;

interface Bucket {
  tokens: number;
  updatedAtMs: number;
}

/** Retry tokens by service. */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #readRetryRatio: () => number;
  readonly #readBounds: () => EdgeBounds;
  readonly #buckets = new Map<string, Bucket>();

  constructor(
    clock: Clock,
    readRetryRatio: () => number,
    readBounds: () => EdgeBounds = () => DEFAULT_EDGE_BOUNDS,
  ) {
    this.#clock = clock;
    this.#readBounds = readBounds;
    this.#readRetryRatio = readRetryRatio;
  }

  /** A call of the service has succeeded. */
  earn(service: string): void {
    const bucket = this.#refresh(service);
    bucket.tokens = Math.min(
      this.#readBounds().maxTokens,
      bucket.tokens + this.#readRetryRatio(),
    );
  }

  /** Takes a token; false when there is none. */
  spend(service: string): boolean {
    const bucket = this.#refresh(service);
    if (bucket.tokens < 1 || this.#readRetryRatio() === 0) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  /** Tokens that the edge to a service holds. */
  readTokens(service: string): number {
    return this.#refresh(service).tokens;
  }

  #refresh(service: string): Bucket {
    const nowMs = this.#clock.monotonicMs();
    const { initialTokens, maxTokens, refillPerSecond } = this
      .#readBounds();
    const bucket = this.#buckets.get(service) ??
      { tokens: initialTokens, updatedAtMs: nowMs };
    const gained = (nowMs - bucket.updatedAtMs) / 1_000 * refillPerSecond;
    bucket.tokens = Math.min(maxTokens, bucket.tokens + gained);
    bucket.updatedAtMs = nowMs;
    this.#buckets.delete(service);
    this.#buckets.set(service, bucket);
    this.#forgetOldest();
    return bucket;
  }

  #forgetOldest(): void {
    const [oldest] = this.#buckets.keys();
    if (this.#buckets.size > MAX_EDGES && oldest !== undefined) {
      this.#buckets.delete(oldest);
    }
  }
}
