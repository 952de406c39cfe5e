/**
 * A call on its way from this daemon to an instance.
 */

import type { CallContext } from "../generated/types.ts";
import type { GuardedDispatch } from "../idempotency/mod.ts";

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
  readonly body: Uint8Array;
  /** Key of a non-repeatable call; empty for others. */
  readonly idempotencyKey: string;
  /** Attempt number that the caller stated; 0 if none. */
  readonly attempt: number;
  /** Present on non-repeatable calls while they are dispatched. */
  readonly guard?: GuardedDispatch;
  /** Ends when the caller no longer waits. */
  readonly signal: AbortSignal;
}
