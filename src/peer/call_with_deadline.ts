/**
 * Calls to other daemons with a deadline.
 */

import { CallController } from "../cancellation/mod.ts";
import type { CallSignal } from "../cancellation/mod.ts";
import type { HeldMemory } from "../memory/mod.ts";
import { REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { CallProgress, CallWithoutId } from "./outbound_connection.ts";
import type { PeerClient } from "./peer_client.ts";

/** Message, body, deadline and cancellation of a call to a peer. */
export interface DeadlineCall {
  readonly message: CallWithoutId;
  readonly body: Uint8Array;
  /** Deadline, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: CallSignal;
  /** Memory that the call holds; a reply's body counts against it. */
  readonly memory?: HeldMemory | undefined;
  /** Whether the call fails when the connection becomes silent, because it can safely be sent again or its outcome queried; defaults to true. */
  readonly failsWhenSilent?: boolean;
}

/** Outcome of a call to a peer, with the progress of its messages. */
export interface ResultWithProgress {
  readonly result: CallResult;
  readonly progress: CallProgress;
}

/**
 * Calls a peer and gives up at the deadline or when the signal is aborted.
 *
 * @param client - Connection to the peer
 * @param clock - Clock of the deadline
 * @param call - Message, body, deadline and cancellation
 * @returns The outcome, and whether the call was sent and a reply was received
 *
 * @example
 * const { result, progress } = await callWithDeadline(peers.get(holder), clock, call);
 */
export async function callWithDeadline(
  client: PeerClient,
  clock: Clock,
  call: DeadlineCall,
): Promise<ResultWithProgress> {
  const progress: CallProgress = { isSent: false, isReplied: false };
  const controller = new CallController();
  const expire = () => controller.abort(REASONS.deadlineExpired);
  const remainingMs = Math.max(0, call.deadlineAtMs - clock.monotonicMs());
  const cancelDeadline = clock.schedule(remainingMs, expire);
  const stopFollowing = controller.follow(call.signal);
  const result = await client.call(call.message, call.body, {
    signal: controller.signal,
    memory: call.memory,
    failsWhenSilent: call.failsWhenSilent ?? true,
    progress,
  });
  cancelDeadline();
  stopFollowing();
  return { result, progress };
}
