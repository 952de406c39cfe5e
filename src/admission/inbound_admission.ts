/**
 * Admission of calls to the backend server on this VM.
 */

import type { Result } from "neverthrow";
import type { CallSignal } from "../cancellation/mod.ts";
import type { CallContext, LoadSignal } from "../generated/types.ts";
import type { Refusal } from "../outcome/mod.ts";

/** How an admitted call ended. */
export interface CallCompletion {
  /** Time the backend server took, in milliseconds. */
  readonly durationMs: number;
  /** Time of it without the deeper calls that it waited for, in milliseconds. */
  readonly ownDurationMs: number;
  /** Whether the backend server gave a whole answer. */
  readonly isAnswered: boolean;
  /** Whether the backend server itself refused the call as too much. */
  readonly isShed: boolean;
}

/** The right to run one call on the backend server. */
export interface Permit {
  /** Gives the right back; called exactly once. */
  release(use: CallCompletion): void;
}

/** What admission is told about a call. */
export interface InboundCall {
  readonly context: CallContext;
  readonly service: string;
  /** When the deadline passes, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
  /** Rank of the call's class; 0 is the most important. */
  readonly classRank: number;
  /** Ends the wait when the caller has gone. */
  readonly signal: CallSignal;
}

/** Decides which calls run on the backend server and when. */
export abstract class InboundAdmission {
  /** Waits for a permit; a refusal means that the call was not run. */
  abstract acquire(call: InboundCall): Promise<Result<Permit, Refusal>>;

  /** State to carry on replies. */
  abstract describeLoad(service: string): LoadSignal;

  /** Takes the slots that the backend server announced. */
  abstract setCapacity(slots: number): void;

  /** Calls running or waiting. */
  abstract get pendingCalls(): number;
}
