/**
 * Computes the ratio of wasted work: runs at backend servers whose result no
 * caller could use.
 */

import type { RecordedRun } from "../../testing/backend_server_stand_in.ts";
import type { LoadReport } from "./load_report.ts";

/**
 * Computes the ratio of runs that belong to requests that were not answered in
 * time.
 *
 * @param report - Load report
 * @param runs - Runs at the backend servers during the same load
 * @returns The ratio, 0 to 1; 0 if there were no runs
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
