/**
 * Status of a daemon as returned by its admin API.
 */

import type { AllowanceStatus } from "../allowance/mod.ts";
import type { ConfigurationProgressStatus } from "../configuration/mod.ts";
import type {
  Announcement,
  LoadSignal,
  MemberRecord,
} from "../generated/types.ts";

/** Why a daemon is not ready. */
export interface NotReadyStatus {
  readonly reason: string;
  /** The refused or unconfirmed configuration version; 0 if there is none. */
  readonly version: number;
}

/** Response body of `GET /v1/status`. */
export interface DaemonStatus {
  readonly self: MemberRecord;
  readonly isReady: boolean;
  /** Why the daemon is not ready; absent in daemons of older builds. */
  readonly notReady?: NotReadyStatus | null;
  /** Active version. */
  readonly configurationVersion: number;
  /** Versions in the store, active and refused; absent in daemons of older builds. */
  readonly configuration?: ConfigurationProgressStatus;
  readonly backend: {
    readonly state: string;
    readonly announcement: Announcement | null;
  };
  readonly load: LoadSignal;
  readonly activeCalls: number;
  /** Absent in daemons of older builds. */
  readonly allowances?: AllowanceStatus | null;
  readonly members: readonly MemberRecord[];
}
