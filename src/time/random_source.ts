/**
 * Seeded random number generator.
 */

import { randomInt } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Number of distinct 32-bit values. */
const RANGE = 0x1_0000_0000;

/** Pseudorandom number generator with a reproducible sequence for each seed. */
export class RandomSource {
  readonly #generator: RandomGenerator;

  /** Creates a generator. A seed of 0 selects a random seed. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(
      seed === 0 ? randomInt(1, RANGE - 1) : seed,
    );
  }

  /** Returns a random number in [0, 1). */
  nextFloat(): number {
    return (this.#generator.next() >>> 0) / RANGE;
  }

  /** Returns a random integer in [0, limit). */
  nextInteger(limit: number): number {
    return Math.floor(this.nextFloat() * limit);
  }

  /** Returns a random item, or undefined if the list is empty. */
  choose<T>(items: readonly T[]): T | undefined {
    return items[this.nextInteger(items.length)];
  }
}
