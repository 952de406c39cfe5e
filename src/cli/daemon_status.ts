/**
 * Status of a daemon as returned by its admin API.
 */

import type { AllowanceStatus } from "../allowance/mod.ts";
import type {
  Announcement,
  LoadSignal,
  MemberRecord,
} from "../generated/types.ts";

/** Response body of `GET /v1/status`. */
export interface DaemonStatus {
  readonly self: MemberRecord;
  readonly isReady: boolean;
  readonly configurationVersion: number;
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
