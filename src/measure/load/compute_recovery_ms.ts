/**
 * Time until a fleet serves again as before an overload.
 */

import { countRequests } from "./count_requests.ts";
import type { LoadReport } from "./load_report.ts";

/** What counts as recovered. */
export interface RecoveryOptions {
  /** End of the trigger after the begin of the run, in milliseconds. */
  readonly triggerEndMs: number;
  /** End of the time looked at, in milliseconds. */
  readonly untilMs: number;
  /** Share of requests answered in time that a recovered fleet reaches. */
  readonly answeredRatio: number;
  /** Classes that are looked at; all when left out. */
  readonly classNames?: readonly string[];
}

/**
 * Computes how long after its trigger an overload lasts: until the first period
 * from which on each period answers the wanted share of what began in it.
 *
 * @param report - The run
 * @param options - End of the trigger and share wanted
 * @returns The time in milliseconds; the whole time looked at when not recovered in it
 *
 * @example
 * const recoveryMs = computeRecoveryMs(report, { triggerEndMs, untilMs, answeredRatio: 0.95 });
 */
export function computeRecoveryMs(
  report: LoadReport,
  options: RecoveryOptions,
): number {
  const { triggerEndMs, untilMs, answeredRatio, classNames } = options;
  const { bucketMs } = report;
  let recoveredAtMs = untilMs;
  while (recoveredAtMs - bucketMs >= triggerEndMs) {
    const { offered, answered } = countRequests(report, {
      fromMs: recoveredAtMs - bucketMs,
      untilMs: recoveredAtMs,
      ...classNames === undefined ? {} : { classNames },
    });
    if (answered < offered * answeredRatio) {
      break;
    }
    recoveredAtMs -= bucketMs;
  }
  return recoveredAtMs - triggerEndMs;
}
