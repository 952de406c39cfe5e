/**
 * Seeded random numbers.
 */

import { randomInt } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const RANGE = 0x1_0000_0000;

/** A stream of random numbers that a seed determines. */
export class RandomSource {
  readonly #generator: RandomGenerator;

  /** Creates a stream; seed 0 takes a seed from the system. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(
      seed === 0 ? randomInt(1, RANGE - 1) : seed,
    );
  }

  /** A number in [0, 1). */
  nextFloat(): number {
    return (this.#generator.next() >>> 0) / RANGE;
  }

  /** An integer in [0, limit). */
  nextInteger(limit: number): number {
    return Math.floor(this.nextFloat() * limit);
  }

  /** One item, or undefined of an empty list. */
  choose<T>(items: readonly T[]): T | undefined {
    return items[this.nextInteger(items.length)];
  }
}
