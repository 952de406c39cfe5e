/**
 * Growing, jittered pauses between attempts.
 */

import type { RandomSource } from "../time/mod.ts";

/** Bounds of the pauses. */
export interface BackoffOptions {
  readonly firstDelayMs: number;
  readonly maxDelayMs: number;
}

/** Gives pauses that double and are drawn at random, so that many waiters spread out. */
export class Backoff {
  readonly #random: RandomSource;
  readonly #options: BackoffOptions;
  #limitMs: number;

  constructor(random: RandomSource, options: BackoffOptions) {
    this.#random = random;
    this.#options = options;
    this.#limitMs = options.firstDelayMs;
  }

  /** The next pause: uniform between half the present limit and the limit, in milliseconds. */
  nextDelayMs(): number {
    const limitMs = this.#limitMs;
    this.#limitMs = Math.min(limitMs * 2, this.#options.maxDelayMs);
    return limitMs * (1 + this.#random.nextFloat()) / 2;
  }

  /** Starts over after a success. */
  reset(): void {
    this.#limitMs = this.#options.firstDelayMs;
  }
}
