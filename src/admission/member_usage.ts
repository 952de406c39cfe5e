/**
 * Recent use by Member, in a fixed amount of memory.
 */

import { hashText } from "../hashing/mod.ts";

/** Counters; Members whose hashes meet share one. */
const COUNTERS = 512;

/** Time after which a use counts half, in milliseconds. */
const HALF_LIFE_MS = 1_000;

/** Counts calls that ran, by Member. */
export class MemberUsage {
  readonly #counts = new Float64Array(COUNTERS);
  readonly #updatedAtMs = new Float64Array(COUNTERS);

  /** A call of the Member begins to run. */
  record(member: string, nowMs: number): void {
    const index = hashText(member) % COUNTERS;
    this.#counts[index] = this.#read(index, nowMs) + 1;
    this.#updatedAtMs[index] = nowMs;
  }

  /** Calls that ran of late; older ones count less. */
  estimate(member: string, nowMs: number): number {
    return this.#read(hashText(member) % COUNTERS, nowMs);
  }

  #read(index: number, nowMs: number): number {
    const ageMs = nowMs - (this.#updatedAtMs[index] ?? 0);
    return (this.#counts[index] ?? 0) * 2 ** (-ageMs / HALF_LIFE_MS);
  }
}
