/**
 * Records the shares of calls that leave the failure domain.
 */

import type { SpillChange } from "../routing/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";

/** Steps in which a share is recorded in the journal; smaller changes only show in the metric. */
const RECORDED_STEP = 0.1;

/**
 * Updates the metric of a share, and journals it if it starts, ends or passes a
 * step.
 *
 * @param telemetry - Journal and metrics
 * @param change - The change and the figures behind it
 *
 * @example
 * reportSpillChange({ journal, metrics }, change);
 */
export function reportSpillChange(
  { journal, metrics }: {
    readonly journal: DecisionJournal;
    readonly metrics: DaemonMetrics;
  },
  { service, domain, from, to, ownLoad, otherLoad, cause }: SpillChange,
): void {
  if (to === 0) {
    metrics.spillShare.remove({ service, domain });
  } else {
    metrics.spillShare.set({ service, domain }, to);
  }
  const isStep = Math.floor(from / RECORDED_STEP) !==
    Math.floor(to / RECORDED_STEP);
  if (isStep || from === 0 || to === 0) {
    journal.record(DECISIONS.spillShareChange, {
      ...{ service, domain, cause },
      from: Number(from.toFixed(2)),
      to: Number(to.toFixed(2)),
      ownLoad: Number(ownLoad.toFixed(2)),
      otherLoad: Number(otherLoad.toFixed(2)),
    });
  }
}
