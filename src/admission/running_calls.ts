/**
 * Calls that hold a slot of the backend server.
 */

/** A call that holds a slot. */
export interface RunningCall {
  readonly classRank: number;
  readonly startedAtMs: number;
}

/** Calls that run, by class. */
export class RunningCalls {
  readonly #calls = new Set<RunningCall>();
  readonly #countByRank: number[] = [];
  readonly #startedAtSumsMs: number[] = [];

  /** Calls that run. */
  get count(): number {
    return this.#calls.size;
  }

  /** A call begins to run. */
  add(call: RunningCall): void {
    this.#calls.add(call);
    this.#addStart(call.classRank, call.startedAtMs);
    this.#countByRank[call.classRank] = this.countClass(call.classRank) + 1;
  }

  /** A call has ended. */
  remove(call: RunningCall): void {
    if (this.#calls.delete(call)) {
      this.#addStart(call.classRank, -call.startedAtMs);
      this.#countByRank[call.classRank] = this.countClass(call.classRank) - 1;
    }
  }

  /** Calls of one class that run. */
  countClass(classRank: number): number {
    return this.#countByRank[classRank] ?? 0;
  }

  /** For how long calls have been running on average, in milliseconds. */
  computeMeanAgeMs(nowMs: number): number {
    const count = this.#calls.size;
    const sumMs = this.#startedAtSumsMs.reduce((sum, each) => sum + each, 0);
    return count === 0 ? 0 : nowMs - sumMs / count;
  }

  /** For how long calls of one class have been running on average, in milliseconds. */
  computeClassMeanAgeMs(classRank: number, nowMs: number): number {
    const count = this.countClass(classRank);
    const sumMs = this.#startedAtSumsMs[classRank] ?? 0;
    return count === 0 ? 0 : nowMs - sumMs / count;
  }

  #addStart(classRank: number, startedAtMs: number): void {
    const sumMs = this.#startedAtSumsMs[classRank] ?? 0;
    this.#startedAtSumsMs[classRank] = sumMs + startedAtMs;
  }
}
