/**
 * State of the dispatch of a non-repeatable request, of which each key allows only one.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { RunAttempt } from "./run_ledger.ts";

/** An attempt whose outcome is unknown, with the daemon at which it may have run. */
export interface UnresolvedRun extends RunAttempt {
  readonly runner: MemberRecord;
}

/** State of a dispatch, kept so that an unknown outcome can be resolved later. */
export interface DispatchState {
  /** The attempt whose outcome is unknown, if any. */
  unresolvedRun: UnresolvedRun | undefined;
}
