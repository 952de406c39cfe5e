/**
 * Computes the recovery time of a fleet after an overload.
 */

import { countRequests } from "./count_requests.ts";
import type { LoadReport } from "./load_report.ts";

/** Evaluated interval and criterion of recovery. */
export interface RecoveryOptions {
  /** End of the trigger, in milliseconds since the start of the run. */
  readonly triggerEndMs: number;
  /** End of the evaluated interval, in milliseconds since the start of the run. */
  readonly untilMs: number;
  /** Ratio of requests answered in time, 0 to 1, from which on a bucket counts as recovered. */
  readonly answeredRatio: number;
  /** Classes that are evaluated; all by default. */
  readonly classNames?: readonly string[];
}

/**
 * Computes how long an overload lasts after the end of its trigger. The fleet has
 * recovered once every remaining bucket of the evaluated interval reaches the
 * required ratio of the requests that started in it.
 *
 * @param report - Report of the run
 * @param options - End of the trigger, end of the evaluation and required ratio
 * @returns Recovery time in milliseconds; the length of the evaluated interval if
 *   the fleet does not recover within it
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
