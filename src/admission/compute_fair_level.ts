/**
 * Computes the level of max-min fairness among accounts.
 */

/** Number of admitted requests, and accounts that are not listed. */
export interface FairLevelOptions {
  /** Requests that are admitted. */
  readonly budget: number;
  /** Further accounts: their requests in sum, and the highest demand of one. */
  readonly others: { readonly requests: number; readonly demand: number };
}

/** Steps of the bisection; the level is then exact to a millionth of the highest demand. */
const STEPS = 20;

/**
 * Computes the number of requests to which accounts with more are cut, so that
 * the given number is admitted.
 *
 * @param demands - Requests of each account
 * @param options - Admitted share, floor and accounts that are not listed
 * @returns The level; the highest demand if nothing has to be cut
 *
 * @example
 * const level = computeFairLevel([10, 90], { budget: 40, others: { requests: 0, demand: 0 } });
 */
export function computeFairLevel(
  demands: readonly number[],
  { budget, others }: FairLevelOptions,
): number {
  const admit = (level: number, demand: number) =>
    demand <= level ? 1 : level / demand;
  let low = 0;
  let high = demands.reduce(
    (highest, each) => Math.max(highest, each),
    others.demand,
  );
  for (let step = 0; step < STEPS; step += 1) {
    const level = (low + high) / 2;
    const admitted = demands.reduce(
      (sum, demand) => sum + demand * admit(level, demand),
      others.requests * admit(level, others.demand),
    );
    if (admitted > budget) {
      high = level;
    } else {
      low = level;
    }
  }
  return high;
}
