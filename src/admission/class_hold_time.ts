/**
 * Estimates how long the calls of one class hold their slots.
 *
 * A class may have direct requests and nested calls that take very different
 * times. One moving average of both would follow the kind of the latest calls.
 */

/** Weight of the latest call in the moving averages. */
const LATEST_WEIGHT = 0.2;

/** Weight of the latest call in the share of the nested calls. */
const LATEST_SHARE_WEIGHT = 0.01;

/** Moving averages of new chains and of nested calls, and their shares. */
export class ClassHoldTime {
  #newChainMs: number | undefined;
  #nestedMs: number | undefined;
  /** Share of the nested calls; undefined before the first call. */
  #nestedRatio: number | undefined;

  /** Mean hold time of a call, in milliseconds; undefined before the first one has completed. */
  get averageMs(): number | undefined {
    if (this.#newChainMs === undefined || this.#nestedMs === undefined) {
      return this.#newChainMs ?? this.#nestedMs;
    }
    const nestedRatio = this.#nestedRatio ?? 0;
    return nestedRatio * this.#nestedMs + (1 - nestedRatio) * this.#newChainMs;
  }

  /** Records the hold time of a completed call, in milliseconds. */
  observe(durationMs: number, isNested: boolean): void {
    if (isNested) {
      this.#nestedMs = average(this.#nestedMs, durationMs, LATEST_WEIGHT);
    } else {
      this.#newChainMs = average(this.#newChainMs, durationMs, LATEST_WEIGHT);
    }
    this.#nestedRatio = average(
      this.#nestedRatio,
      Number(isNested),
      LATEST_SHARE_WEIGHT,
    );
  }
}

function average(
  previous: number | undefined,
  latest: number,
  latestWeight: number,
): number {
  return previous === undefined
    ? latest
    : previous + (latest - previous) * latestWeight;
}
