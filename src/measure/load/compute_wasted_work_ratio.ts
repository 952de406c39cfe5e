/**
 * Share of work that helped no caller.
 */

import type { RecordedRun } from "../../testing/backend_server_stand_in.ts";
import type { LoadReport } from "./load_report.ts";

/**
 * Computes the share of runs at backend servers whose request was not answered
 * in time in the end.
 *
 * @param report - The run of load
 * @param runs - What the backend servers ran for it
 * @returns The share, 0 to 1
 *
 * @example
 * const ratio = computeWastedWorkRatio(report, fleet.vms.flatMap(({ backendServer }) => backendServer.runs));
 */
export function computeWastedWorkRatio(
  report: LoadReport,
  runs: readonly RecordedRun[],
): number {
  const wasted = runs.filter(({ requestId }) =>
    !report.answeredIds.has(requestId)
  );
  return runs.length === 0 ? 0 : wasted.length / runs.length;
}
