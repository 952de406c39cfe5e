/**
 * Calls to peers that end at a deadline.
 */

import { CallController } from "../cancellation/mod.ts";
import type { CallSignal } from "../cancellation/mod.ts";
import type { CallProgress, CallWithoutId, PeerClient } from "../peer/mod.ts";
import { REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";

/** Message, body and limits of a call to a peer. */
export interface DeadlineCall {
  readonly message: CallWithoutId;
  readonly body: Uint8Array;
  /** When the wait ends, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: CallSignal;
  /** Whether the wait ends when the connection falls silent, because the call may be sent or asked again; true unless given. */
  readonly failsWhenSilent?: boolean;
}

/** The outcome of a call to a peer and what became of its messages. */
export interface TracedResult {
  readonly result: CallResult;
  readonly trace: CallProgress;
}

/**
 * Calls a peer and gives up at the deadline or when the signal ends.
 *
 * @param client - Connection to the peer
 * @param clock - Clock of the deadline
 * @param call - Message, body and limits
 * @returns The outcome, and whether the call was sent and replied to
 *
 * @example
 * const { result, trace } = await callUntilDeadline(peers.get(holder), clock, call);
 */
export async function callUntilDeadline(
  client: PeerClient,
  clock: Clock,
  call: DeadlineCall,
): Promise<TracedResult> {
  const trace: CallProgress = { isSent: false, isReplied: false };
  const controller = new CallController();
  const expire = () => controller.abort(REASONS.deadlineExpired);
  const remainingMs = Math.max(0, call.deadlineAtMs - clock.monotonicMs());
  const cancelDeadline = clock.schedule(remainingMs, expire);
  const stopFollowing = controller.follow(call.signal);
  const result = await client.call(call.message, call.body, {
    signal: controller.signal,
    failsWhenSilent: call.failsWhenSilent ?? true,
    progress: trace,
  });
  cancelDeadline();
  stopFollowing();
  return { result, trace };
}
