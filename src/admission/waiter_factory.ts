/**
 * Creates the waiting calls of a backend server's queue, which leave it when they
 * expire or are cancelled.
 */

import { REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import { computeQueueTimeoutMs } from "./compute_queue_timeout_ms.ts";
import type { FairShares } from "./fair_shares.ts";
import type { InboundCall } from "./inbound_admission.ts";
import type { SlotTracker } from "./slot_tracker.ts";
import { createWaitingCall } from "./waiting_call.ts";
import type { AdmissionResult, WaitingCall } from "./waiting_call.ts";

/** Dependencies of the factory. */
export interface WaiterFactoryOptions {
  readonly clock: Clock;
  readonly shares: FairShares;
  readonly slots: SlotTracker;
  /** Whether an account has used up its allowance, so that its calls go last. */
  readonly isAllowanceUsedUp?: ((account: string) => boolean) | undefined;
  /** Removes a call from the queue, and refuses it. */
  readonly remove: (waiter: WaitingCall, reason: Reason) => void;
}

/** How long the queue has not been empty, and what ends the wait. */
export interface WaiterOptions {
  readonly queuedForMs: number;
  readonly resolve: (result: AdmissionResult) => void;
}

/** Creates waiting calls with their timeout. */
export class WaiterFactory {
  readonly #options: WaiterFactoryOptions;

  constructor(options: WaiterFactoryOptions) {
    this.#options = options;
  }

  /** Creates the waiting call, and starts its timeout. */
  create(
    call: InboundCall,
    { queuedForMs, resolve }: WaiterOptions,
  ): WaitingCall {
    const { clock, isAllowanceUsedUp, remove, shares, slots } = this.#options;
    const nowMs = clock.monotonicMs();
    const isNested = call.context.depth > 0;
    const remainingMs = call.deadlineAtMs - nowMs;
    const { holdMs } = slots;
    const timeoutMs = computeQueueTimeoutMs(remainingMs, {
      ...{ isNested, holdMs, queuedForMs },
    });
    const uncappedMs = computeQueueTimeoutMs(remainingMs, {
      ...{ isNested, holdMs, queuedForMs: 0 },
    });
    const cancelExpiry = clock.schedule(
      timeoutMs,
      () => remove(waiter, REASONS.queueExpired),
    );
    const cancelWait = () => remove(waiter, REASONS.cancelled);
    call.signal.addEventListener("abort", cancelWait);
    const waiter = createWaitingCall(call, {
      open: shares.open(call, nowMs),
      nowMs,
      timeoutMs,
      isWaitCapped: timeoutMs < uncappedMs,
      isOverAllowance: isAllowanceUsedUp?.(call.context.member) ?? false,
      settle: (result) => {
        cancelExpiry();
        call.signal.removeEventListener("abort", cancelWait);
        resolve(result);
      },
    });
    return waiter;
  }
}
