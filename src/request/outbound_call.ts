/**
 * A call on its way from this daemon to an instance.
 */

import type { CallSignal } from "../cancellation/mod.ts";
import type { CallContext } from "../generated/types.ts";
import type { DispatchState } from "../idempotency/mod.ts";

/** A call that this daemon routes. */
export interface OutboundCall {
  readonly context: CallContext;
  /** When the deadline passes, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
  readonly classRank: number;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  /** End-to-end header fields of the caller, names and values by turns, where they travel on. */
  readonly headers?: readonly string[] | undefined;
  /** Service of the VM on which the call began, where backend servers are told. */
  readonly callerService?: string | undefined;
  /** Instances that may be asked to run the call; bounded by the allowance alone where absent. */
  readonly maxAttempts?: number | undefined;
  /** Latency that its caller aims at, in milliseconds, where it is known. */
  readonly targetLatencyMs?: number | undefined;
  readonly body: Uint8Array;
  /** Key of a non-repeatable call; empty for others. */
  readonly idempotencyKey: string;
  /** Attempt number that the caller stated; 0 if none. */
  readonly attempt: number;
  /** Present on non-repeatable calls while they are dispatched. */
  readonly guard?: DispatchState | undefined;
  /** Ends when the caller no longer waits. */
  readonly signal: CallSignal;
}
