/**
 * The admission decisions of a daemon, or their baseline.
 */

import {
  AdaptiveAdmission,
  hashText,
  LoadSignalEntryAdmission,
  UnprotectedAdmission,
  UnprotectedEntryAdmission,
} from "../admission/mod.ts";
import type { EntryAdmission, InboundAdmission } from "../admission/mod.ts";
import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";

/** What the decisions depend on. */
export interface AdmissionDependencies {
  readonly clock: Clock;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
  readonly configuration: ConfigurationHolder;
  readonly incarnation: string;
}

/** Both places of admission. */
export interface Admission {
  readonly entryAdmission: EntryAdmission;
  readonly inboundAdmission: InboundAdmission;
}

/**
 * Creates the admission decisions.
 *
 * @param isProtected - Whether decisions are made; the baseline admits everything
 * @param dependencies - The daemon's parts
 * @returns Admission at the entry and at the backend server
 *
 * @example
 * const { entryAdmission } = createAdmission(true, dependencies);
 */
export function createAdmission(
  isProtected: boolean,
  dependencies: AdmissionDependencies,
): Admission {
  if (!isProtected) {
    return {
      entryAdmission: new UnprotectedEntryAdmission(),
      inboundAdmission: new UnprotectedAdmission(),
    };
  }
  const { clock, journal, metrics, configuration, incarnation } = dependencies;
  const listReservedRatios = () =>
    configuration.current?.document.classes.map(({ reservedRatio }) =>
      reservedRatio
    ) ?? [0];
  return {
    entryAdmission: new LoadSignalEntryAdmission({ clock, journal, metrics }),
    inboundAdmission: new AdaptiveAdmission({
      clock,
      journal,
      metrics,
      instance: hashText(incarnation),
      listReservedRatios,
    }),
  };
}
