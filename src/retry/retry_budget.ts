/**
 * Retry budget: token buckets that bound the retries from this daemon to each
 * service.
 *
 * Successful calls earn tokens and each retry spends one. A service that fails
 * completely receives only the retries left in the bucket and a slow refill.
 */

import type { Clock } from "../time/mod.ts";

/** Token bucket limits of one edge, from this daemon to a service. */
export interface EdgeBounds {
  /** Capacity of the bucket, in tokens. */
  readonly maxTokens: number;
  /** Tokens in the bucket of an edge that has not been used. */
  readonly initialTokens: number;
  /** Tokens up to which the bucket is refilled independently of successes. */
  readonly maxRefilledTokens: number;
  /** Tokens added per second independently of successes. */
  readonly refillPerSecond: number;
}

/** Bounds used when no retry slack is configured for the fleet. */
export const DEFAULT_EDGE_BOUNDS: EdgeBounds = {
  maxTokens: 10,
  initialTokens: 2,
  maxRefilledTokens: 10,
  refillPerSecond: 0.2,
};

/** Maximum number of buckets; the least recently used one is evicted. */
const MAX_EDGES = 2_000;

interface Bucket {
  tokens: number;
  updatedAtMs: number;
}

/** Retry token buckets by service. */
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

  /** Adds tokens for a successful call to the service. */
  earn(service: string): void {
    const bucket = this.#refill(service);
    bucket.tokens = Math.min(
      this.#readBounds().maxTokens,
      bucket.tokens + this.#readRetryRatio(),
    );
  }

  /** Spends a token; returns false if there is none or retries are disabled. */
  spend(service: string): boolean {
    const bucket = this.#refill(service);
    if (bucket.tokens < 1 || this.#readRetryRatio() === 0) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  /** Returns the tokens in the bucket of a service. */
  readTokens(service: string): number {
    return this.#refill(service).tokens;
  }

  #refill(service: string): Bucket {
    const nowMs = this.#clock.monotonicMs();
    const { initialTokens, maxTokens, maxRefilledTokens, refillPerSecond } =
      this.#readBounds();
    const bucket = this.#buckets.get(service) ??
      { tokens: initialTokens, updatedAtMs: nowMs };
    const refilled = (nowMs - bucket.updatedAtMs) / 1_000 * refillPerSecond;
    const refillLimit = Math.max(bucket.tokens, maxRefilledTokens);
    bucket.tokens = Math.min(maxTokens, refillLimit, bucket.tokens + refilled);
    bucket.updatedAtMs = nowMs;
    this.#buckets.delete(service);
    this.#buckets.set(service, bucket);
    this.#evictOldest();
    return bucket;
  }

  #evictOldest(): void {
    const [oldest] = this.#buckets.keys();
    if (this.#buckets.size > MAX_EDGES && oldest !== undefined) {
      this.#buckets.delete(oldest);
    }
  }
}
