/**
 * A call that waits for a slot, as the queue sees it.
 */

import type { Result } from "neverthrow";
import type { Refusal } from "../outcome/mod.ts";
import type { OpenShare } from "./fair_shares.ts";
import { hashTree } from "./hash_tree.ts";
import type { InboundCall, Permit } from "./inbound_admission.ts";
import type { Waiter } from "./waiting_queue.ts";

/** Result of a request for a slot. */
export type AdmissionResult = Result<Permit, Refusal>;

/** A waiting call with the function that ends its wait. */
export interface WaitingCall extends Waiter {
  readonly className: string;
  readonly requestId: string;
  readonly isLastResort: boolean;
  /** Whether the call may wait less long than its deadline allows, since the queue is a standing one. */
  readonly isWaitCapped: boolean;
  /** Expected time to completion at another instance, in milliseconds; undefined if the call must not be handed back. */
  readonly elsewhereMs: number | undefined;
  readonly settle: (result: AdmissionResult) => void;
}

/** What the admission knows about an arriving call. */
export interface WaitOptions {
  readonly open: OpenShare;
  readonly nowMs: number;
  /** Longest wait, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether it is shorter than the deadline allows. */
  readonly isWaitCapped: boolean;
  /** Whether the account has used up its allowance. */
  readonly isOverAllowance: boolean;
  readonly settle: (result: AdmissionResult) => void;
}

/**
 * Describes a call that starts to wait.
 *
 * @param call - The call
 * @param options - Its share, allowance and longest wait
 * @returns The waiting call
 *
 * @example
 * const waiter = createWaitingCall(call, { open, nowMs, timeoutMs, isWaitCapped, isOverAllowance, settle });
 */
export function createWaitingCall(
  { classRank, context, elsewhereMs, isLastResort = false }: InboundCall,
  { open, nowMs, timeoutMs, isWaitCapped, isOverAllowance, settle }:
    WaitOptions,
): WaitingCall {
  const { className, depth, member, requestId } = context;
  const isNested = depth > 0;
  return {
    classRank,
    className,
    requestId,
    member,
    open,
    isOverAllowance,
    isNested,
    isLastResort,
    isWaitCapped,
    elsewhereMs,
    treeRank: isNested ? hashTree(requestId) : 0,
    arrivedAtMs: nowMs,
    expiresAtMs: nowMs + timeoutMs,
    settle: (result) => {
      if (result.isErr()) {
        open.clock.close(open.share);
      }
      settle(result);
    },
  };
}
