/**
 * Counts of the recent requests of one kind, with exponential decay.
 *
 * Each request weighs by the time since it arrived, also after it has ended, so
 * that the counts of one moment are about the same requests.
 */

/** Time constant of the decay of the request counts, in milliseconds. */
const TIME_CONSTANT_MS = 1_500;

/** Time constant of the decay of the counts from which the success ratio is computed, in milliseconds. */
const SUCCESS_RATIO_TIME_CONSTANT_MS = 600;

/** Decayed counts at one time. */
export interface RequestCounts {
  /** Requests that arrived, admitted or not. */
  readonly requests: number;
  /** Requests that were served. */
  readonly served: number;
  /** Admitted requests without an outcome. */
  readonly inProgress: number;
  /** Admitted requests that ended very recently. */
  readonly recentlyEnded: number;
  /** Those of them that were served. */
  readonly recentlyServed: number;
}

/** Counts of a kind without any requests. */
export const NO_COUNTS: RequestCounts = {
  requests: 0,
  served: 0,
  inProgress: 0,
  recentlyEnded: 0,
  recentlyServed: 0,
};

/**
 * Decays counts by their age.
 *
 * @param counts - The counts
 * @param ageMs - Time since they were current, in milliseconds
 * @returns The counts as they weigh now
 *
 * @example
 * decayCounts(counts, 1_500).requests; // about a third
 */
export function decayCounts(
  counts: RequestCounts,
  ageMs: number,
): RequestCounts {
  const weight = computeRequestWeight(ageMs);
  const recentWeight = Math.exp(-ageMs / SUCCESS_RATIO_TIME_CONSTANT_MS);
  return {
    requests: counts.requests * weight,
    served: counts.served * weight,
    inProgress: counts.inProgress * weight,
    recentlyEnded: counts.recentlyEnded * recentWeight,
    recentlyServed: counts.recentlyServed * recentWeight,
  };
}

/**
 * Computes the weight of a request in the counts that decay with
 * {@link TIME_CONSTANT_MS}.
 *
 * @param ageMs - Time since the request arrived, in milliseconds
 * @returns The weight, 1 at its arrival
 *
 * @example
 * const weight = computeRequestWeight(durationMs);
 */
export function computeRequestWeight(ageMs: number): number {
  return Math.exp(-ageMs / TIME_CONSTANT_MS);
}

/**
 * Adds counts.
 *
 * @param left - Counts
 * @param right - Counts of the same time
 * @param sign - 1 to add `right`, -1 to take it out of a sum that contains it
 * @returns The sum; no count is negative
 *
 * @example
 * const fleet = addCounts(ownDomain, otherDomains);
 */
export function addCounts(
  left: RequestCounts,
  right: RequestCounts,
  sign: 1 | -1 = 1,
): RequestCounts {
  const add = (name: keyof RequestCounts) =>
    Math.max(0, left[name] + sign * right[name]);
  return {
    requests: add("requests"),
    served: add("served"),
    inProgress: add("inProgress"),
    recentlyEnded: add("recentlyEnded"),
    recentlyServed: add("recentlyServed"),
  };
}
