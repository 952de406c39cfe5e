/**
 * Approximate recent usage by Member, in constant memory.
 */

import { hashText } from "../hashing/mod.ts";

/** Number of counters; Members whose hashes collide share one. */
const COUNTERS = 512;

/** Half-life of the counts, in milliseconds. */
const HALF_LIFE_MS = 1_000;

/** Counts calls by Member, with exponential decay. */
export class MemberUsage {
  readonly #counts = new Float64Array(COUNTERS);
  readonly #updatedAtMs = new Float64Array(COUNTERS);

  /** Records that a call of the Member starts to run. */
  record(member: string, nowMs: number): void {
    const index = hashText(member) % COUNTERS;
    this.#counts[index] = this.#read(index, nowMs) + 1;
    this.#updatedAtMs[index] = nowMs;
  }

  /** Estimates the recent calls of the Member; older ones count less. */
  estimate(member: string, nowMs: number): number {
    return this.#read(hashText(member) % COUNTERS, nowMs);
  }

  #read(index: number, nowMs: number): number {
    const ageMs = nowMs - (this.#updatedAtMs[index] ?? 0);
    return (this.#counts[index] ?? 0) * 2 ** (-ageMs / HALF_LIFE_MS);
  }
}
