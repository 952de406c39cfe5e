/**
 * Dependencies of admission control at the backend server.
 */

import type { ProcessorLoad } from "../event_loop/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { AdmissionTelemetry } from "./admission_journal.ts";

/** Dependencies and settings of the admission. */
export interface AdaptiveAdmissionOptions extends AdmissionTelemetry {
  readonly clock: Clock;
  /** Number that distinguishes this instance from others of its service. */
  readonly instance: number;
  /** Lists the share of the limit reserved for each class, the most important first. */
  readonly listReservedRatios: () => readonly number[];
  /** Load of the process that runs this daemon; taken as idle if absent. */
  readonly processor?: ProcessorLoad | undefined;
  /** Whether an account has used up its allowance, so that its calls go last. */
  readonly isAllowanceUsedUp?: ((account: string) => boolean) | undefined;
}
