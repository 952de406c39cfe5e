/**
 * A call that this daemon sends to an instance.
 */

import type { CallSignal } from "../cancellation/mod.ts";
import type { CallContext } from "../generated/types.ts";
import type { DispatchState } from "../idempotency/mod.ts";
import type { HeldMemory } from "../memory/mod.ts";

/** What has happened to a call over all its attempts. */
export interface DispatchProgress {
  /** Whether a backend server has seen the call, even if it refused it. */
  hasReachedServer: boolean;
}

/** A call that this daemon routes, or received from another daemon to run. */
export interface OutboundCall {
  readonly context: CallContext;
  /** When this daemon had received the whole call, in monotonic milliseconds. */
  readonly receivedAtMs: number;
  /** Deadline, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
  /** Rank of the call's class; 0 is the most important. */
  readonly classRank: number;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  /** End-to-end header fields of the caller as alternating names and values, if they are forwarded. */
  readonly headers?: readonly string[] | undefined;
  /** Service of the VM on which the call originated, if backend servers are told. */
  readonly callerService?: string | undefined;
  /** Maximum number of attempts; if absent, only the retry allowance limits them. */
  readonly maxAttempts?: number | undefined;
  /** Latency that the caller aims for, in milliseconds, if known. */
  readonly targetLatencyMs?: number | undefined;
  readonly body: Uint8Array;
  /** Memory that the call holds in this process. */
  readonly memory: HeldMemory;
  /** Idempotency key of a non-repeatable call; empty for other calls. */
  readonly idempotencyKey: string;
  /** Attempt number stated by the caller; 0 if none. */
  readonly attempt: number;
  /** State of the at-most-once dispatch; present on non-repeatable calls while they are dispatched. */
  readonly dispatchState?: DispatchState | undefined;
  /** Progress of the dispatch, for calls whose origin has to know more than the outcome. */
  readonly progress?: DispatchProgress | undefined;
  /** Whether no instance without a limit is left, so that the call may wait for one that has a limit. */
  readonly isLastResort?: boolean | undefined;
  /** Expected time to completion at another instance, in milliseconds; absent if the call must not be handed back. */
  readonly elsewhereMs?: number | undefined;
  /** Failure domain that the call leaves though it has instances of its own; absent if it does not. */
  readonly spilledFrom?: string | undefined;
  /** Id of the last backend server that left on the VM that the call is sent to, if this daemon knows of one. */
  readonly leavingServer?: string | undefined;
  /** Called when the backend server of this VM is about to get the call. */
  readonly onRun?: (() => void) | undefined;
  /** Aborted when the caller no longer waits. */
  readonly signal: CallSignal;
}
