/**
 * Checks of the history of one account's requests.
 */

import type { AccountLimits } from "../allowance/mod.ts";
import type { AllowanceEvent } from "./simulated_allowances.ts";

/** Length of the window over which requests are counted, in milliseconds. */
const WINDOW_MS = 5_000;

/**
 * Returns the largest number of requests that may be granted within 5 s.
 *
 * @param limits - Rate and burst of the account
 * @returns The number of requests
 *
 * @example
 * computeWindowBound({ ratePerSecond: 60, burst: 30 }); // 383
 */
export function computeWindowBound(
  { ratePerSecond, burst }: AccountLimits,
): number {
  return (ratePerSecond * 5 + burst) * 1.1 + 20;
}

/**
 * Finds the sliding window of 5 s with the most granted requests.
 *
 * @param events - Events in order of time
 * @param account - Name of the account
 * @param fromMs - Windows that start earlier are left out
 * @returns The number of granted requests in that window, and its start
 *
 * @example
 * const { count } = findFullestWindow(fleet.events, "north");
 */
export function findFullestWindow(
  events: readonly AllowanceEvent[],
  account: string,
  fromMs = 0,
): { count: number; startMs: number } {
  const times = events
    .filter((event) =>
      event.account === account && event.isGranted && event.atMs >= fromMs
    )
    .map(({ atMs }) => atMs);
  let fullest = { count: 0, startMs: 0 };
  let first = 0;
  times.forEach((atMs, last) => {
    while (atMs - (times[first] ?? 0) >= WINDOW_MS) {
      first += 1;
    }
    const count = last - first + 1;
    if (count > fullest.count) {
      fullest = { count, startMs: times[first] ?? 0 };
    }
  });
  return fullest;
}
