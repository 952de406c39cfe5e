/**
 * The status that a daemon gives to operators.
 */

import type {
  Announcement,
  LoadSignal,
  MemberRecord,
} from "../generated/types.ts";

/** Status of one daemon. */
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
  readonly members: readonly MemberRecord[];
}
