/**
 * Interface of admission control for calls to the backend server on this VM.
 */

import type { Result } from "neverthrow";
import type { CallSignal } from "../cancellation/mod.ts";
import type { CallContext, LoadSignal } from "../generated/types.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { StatedSlowness } from "../slowness/mod.ts";

/** How an admitted call completed. */
export interface CallCompletion {
  /** Time until the backend server answered, in milliseconds. */
  readonly durationMs: number;
  /** That time without the nested calls it waited for, in milliseconds. */
  readonly ownDurationMs: number;
  /** Whether the backend server returned a complete answer. */
  readonly isAnswered: boolean;
  /** Whether the backend server itself shed the call. */
  readonly isShed: boolean;
}

/** Permission to run one call on the backend server. */
export interface Permit {
  /** Releases the permit; must be called exactly once. */
  release(completion: CallCompletion): void;
}

/** A call that requests a permit. */
export interface InboundCall {
  readonly context: CallContext;
  readonly service: string;
  /** Deadline, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
  /** Rank of the call's class; 0 is the most important. */
  readonly classRank: number;
  /** Whether no instance without a limit is left, so that the call may wait for one that has a limit. */
  readonly isLastResort?: boolean | undefined;
  /** Expected time to completion at another instance, in milliseconds; absent if the call must not be handed back. */
  readonly elsewhereMs?: number | undefined;
  /** Aborts the wait when the caller disconnects or cancels. */
  readonly signal: CallSignal;
}

/** Decides which calls run on the backend server, and when. */
export abstract class InboundAdmission {
  /** Waits for a permit. A refusal means that the call was not run. */
  abstract acquire(call: InboundCall): Promise<Result<Permit, Refusal>>;

  /** Describes the current load, for replies. */
  abstract describeLoad(service: string): LoadSignal;

  /** Sets the number of slots that the backend server announced. */
  abstract setCapacity(slots: number): void;

  /** Requests a second to which the backend server is limited; undefined without a limit. */
  get requestsPerSecond(): number | undefined {
    return undefined;
  }

  /** Sets the requests a second that the backend server takes; undefined lifts the limit. */
  setRequestRate(_requestsPerSecond: number | undefined): void {
    // The baseline ignores what backend servers ask for.
  }

  /** Lets few calls run until {@link setRequestRate} is called, since the backend server may have named a limit to an earlier process. */
  awaitFirstStatement(): void {
    // The baseline ignores what backend servers ask for.
  }

  /** Running and waiting calls over the concurrency limit, averaged over some hundred milliseconds. */
  get averageLoad(): number | undefined {
    return undefined;
  }

  /** Momentary slowness of this VM; undefined without a fresh figure. */
  get slowness(): StatedSlowness | undefined {
    return undefined;
  }

  /** Records the momentary slowness that the backend server states. */
  observeSlowness(_slownessRatio: number): void {
    // The baseline ignores what backend servers state.
  }

  /** Refuses the calls that wait, since this VM leaves; they can still be sent elsewhere. */
  handBackWaiting(): void {
    // Calls wait until they get a slot in the baseline.
  }

  /** Number of running and waiting calls. */
  abstract get pendingCalls(): number;
}
