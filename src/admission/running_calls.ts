/**
 * Tracks calls that hold a slot of the backend server.
 */

/** A call that holds a slot. */
export interface RunningCall {
  readonly classRank: number;
  /** Whether the call is nested. */
  readonly isNested: boolean;
  readonly startedAtMs: number;
}

/** Running calls with counts and ages by class. */
export class RunningCalls {
  readonly #calls = new Set<RunningCall>();
  readonly #countByRank: number[] = [];
  readonly #startedAtSumMsByRank: number[] = [];

  /** Number of running calls. */
  get count(): number {
    return this.#calls.size;
  }

  /** Adds a call that starts to run. */
  add(call: RunningCall): void {
    this.#calls.add(call);
    this.#addStart(call.classRank, call.startedAtMs);
    this.#countByRank[call.classRank] = this.countByClass(call.classRank) + 1;
  }

  /** Removes a call that has ended; does nothing if it was already removed. */
  remove(call: RunningCall): void {
    if (this.#calls.delete(call)) {
      this.#addStart(call.classRank, -call.startedAtMs);
      this.#countByRank[call.classRank] = this.countByClass(call.classRank) - 1;
    }
  }

  /** Number of running calls of one class. */
  countByClass(classRank: number): number {
    return this.#countByRank[classRank] ?? 0;
  }

  /** Computes the mean age of the running calls, in milliseconds; 0 if there are none. */
  computeMeanAgeMs(nowMs: number): number {
    const count = this.#calls.size;
    const sumMs = this.#startedAtSumMsByRank.reduce(
      (sum, each) => sum + each,
      0,
    );
    return count === 0 ? 0 : nowMs - sumMs / count;
  }

  /** Computes the mean age of the running calls of one class, in milliseconds; 0 if there are none. */
  computeClassMeanAgeMs(classRank: number, nowMs: number): number {
    const count = this.countByClass(classRank);
    const sumMs = this.#startedAtSumMsByRank[classRank] ?? 0;
    return count === 0 ? 0 : nowMs - sumMs / count;
  }

  #addStart(classRank: number, startedAtMs: number): void {
    const sumMs = this.#startedAtSumMsByRank[classRank] ?? 0;
    this.#startedAtSumMsByRank[classRank] = sumMs + startedAtMs;
  }
}
