/**
 * Token buckets that bound retries on the edges from this daemon to services.
 *
 * Successes earn tokens, a retry spends one, so that a service which fails
 * altogether sees only what the bucket held and a slow trickle.
 */

import type { Clock } from "../time/mod.ts";

/** Tokens that one edge can hold. */
const MAX_TOKENS = 10;

/** Tokens of an edge that has not been used. */
const INITIAL_TOKENS = 2;

/** Tokens that an edge gains each second without successes. */
const TRICKLE_PER_SECOND = 0.2;

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
  readonly #buckets = new Map<string, Bucket>();

  constructor(clock: Clock, readRetryRatio: () => number) {
    this.#clock = clock;
    this.#readRetryRatio = readRetryRatio;
  }

  /** A call of the service has succeeded. */
  earn(service: string): void {
    const bucket = this.#refresh(service);
    bucket.tokens = Math.min(
      MAX_TOKENS,
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
    const bucket = this.#buckets.get(service) ??
      { tokens: INITIAL_TOKENS, updatedAtMs: nowMs };
    const gained = (nowMs - bucket.updatedAtMs) / 1_000 * TRICKLE_PER_SECOND;
    bucket.tokens = Math.min(MAX_TOKENS, bucket.tokens + gained);
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
