/**
 * Exponential backoff with jitter.
 */

import type { RandomSource } from "../time/mod.ts";

/** Bounds of the delays, in milliseconds. */
export interface BackoffOptions {
  readonly firstDelayMs: number;
  readonly maxDelayMs: number;
}

/**
 * Computes delays with an upper limit that doubles, and with jitter so that
 * clients do not retry in step.
 */
export class Backoff {
  readonly #random: RandomSource;
  readonly #options: BackoffOptions;
  #limitMs: number;

  constructor(random: RandomSource, options: BackoffOptions) {
    this.#random = random;
    this.#options = options;
    this.#limitMs = options.firstDelayMs;
  }

  /**
   * Returns the next delay in milliseconds: uniform between half the current
   * limit and the limit.
   */
  nextDelayMs(): number {
    const limitMs = this.#limitMs;
    this.#limitMs = Math.min(limitMs * 2, this.#options.maxDelayMs);
    return limitMs * (1 + this.#random.nextFloat()) / 2;
  }

  /** Resets the limit to the first delay, after a success. */
  reset(): void {
    this.#limitMs = this.#options.firstDelayMs;
  }
}
