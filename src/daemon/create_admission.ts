/**
 * Creation of the admission control of a daemon, or of its baseline without
 * protection.
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
import type { ProcessorLoad } from "../event_loop/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";

/** Dependencies of admission control. */
export interface AdmissionDependencies {
  readonly clock: Clock;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
  readonly configuration: ConfigurationHolder;
  readonly incarnation: string;
  readonly processor: ProcessorLoad;
  readonly isAllowanceUsedUp: (account: string) => boolean;
}

/** Admission control at both of its stages: at the entry and before the backend server. */
export interface Admission {
  readonly entryAdmission: EntryAdmission;
  readonly inboundAdmission: InboundAdmission;
}

/**
 * Creates the admission control.
 *
 * @param isProtected - Whether overload protection is on; the baseline admits everything
 * @param dependencies - Components of the daemon
 * @returns Entry and inbound admission
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
  const { isAllowanceUsedUp, processor } = dependencies;
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
      processor,
      isAllowanceUsedUp,
    }),
  };
}
