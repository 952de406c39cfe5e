/**
 * Limits of an account as seen by the holder of a part of its allowance.
 *
 * Within any 5 s an account may exceed its rate and burst by a tenth of both and
 * 20 requests. Part of that covers tokens that were lent shortly before (400 ms
 * of the rate). The rest allows a bucket to hold a little more than the burst, and
 * to lend a little in advance, so that neither a low rate nor the time between
 * two messages wastes the allowance. A full bucket gains nothing while a request
 * for a token is on its way, up to 60 ms across regions.
 */

/** Rate and burst of an account over all daemons. */
export interface AccountLimits {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Part of the limits that one holder may use. */
export interface PartialLimits {
  readonly ratePerSecond: number;
  /** Largest number of tokens that are kept. */
  readonly capacity: number;
  /** Tokens that may be lent before they have accrued. */
  readonly advance: number;
}

/** Time at the full rate for which tokens are kept or lent in advance at least, in seconds. */
const MIN_STOCK_S = 0.05;

/** Tokens that are kept or lent in advance at least. */
const MIN_STOCK = 4;

/**
 * Computes the limits of a part of an allowance.
 *
 * @param limits - Rate and burst over all daemons
 * @param fraction - Part of the allowance, from 0 to 1
 * @returns The limits of that part
 *
 * @example
 * const { capacity } = computePartialLimits({ ratePerSecond: 60, burst: 30 }, 0.25);
 */
export function computePartialLimits(
  { ratePerSecond, burst }: AccountLimits,
  fraction: number,
): PartialLimits {
  const minStock = MIN_STOCK_S * ratePerSecond + MIN_STOCK;
  return {
    ratePerSecond: ratePerSecond * fraction,
    capacity: (burst + minStock) * fraction,
    advance: minStock * fraction,
  };
}
