/**
 * Progress of the one dispatch that a key allows.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { RunAttempt } from "./run_ledger.ts";

/** An attempt whose outcome at the runner is not known. */
export interface UnresolvedRun extends RunAttempt {
  readonly runner: MemberRecord;
}

/** What a dispatch has left open, so that it can be settled later. */
export interface DispatchState {
  unresolvedRun: UnresolvedRun | undefined;
}
