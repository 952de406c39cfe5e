/**
 * Ranks by which requests wait to be begun.
 */

/** Rank of nested calls, which go first, as their parents already run. */
export const NESTED_RANK = 0;

/**
 * Ranks a request that is not nested.
 *
 * @param classRank - Rank of its class; 0 is the most important
 * @returns Its rank among waiting requests
 *
 * @example
 * const rank = rankClass(route.classRank);
 */
export function rankClass(classRank: number): number {
  return NESTED_RANK + 1 + classRank;
}
