/**
 * Decisions about further attempts of one call.
 */

import type { CallFailure } from "../outcome/mod.ts";
import { REASONS } from "../outcome/mod.ts";

/** What a decision about a further attempt is based on. */
export interface RetryQuestion {
  readonly failure: CallFailure;
  readonly service: string;
  /** Attempts made so far for this call. */
  readonly attempts: number;
  /** Extra attempts that the call's subtree may still make. */
  readonly allowance: number;
  readonly isRepeatable: boolean;
  readonly remainingMs: number;
}

/** Decides whether a failed attempt is followed by another. */
export abstract class RetryPolicy {
  /** Whether another attempt may be made. */
  abstract mayRetry(question: RetryQuestion): boolean;

  /** A first attempt of a call to the service begins. */
  abstract recordCall(service: string): void;

  /** Whether an attempt spends from the call's allowance. */
  abstract readonly isCounted: boolean;
}

/** Attempts that the baseline makes at every hop. */
const BASELINE_ATTEMPTS = 3;

/** The baseline: every hop tries up to three times, whatever the failure. */
export class EveryHopRetryPolicy extends RetryPolicy {
  override readonly isCounted = false;

  override mayRetry(question: RetryQuestion): boolean {
    const isSafe = question.isRepeatable || question.failure.kind === "refused";
    return isSafe && question.attempts < BASELINE_ATTEMPTS &&
      question.remainingMs > 0;
  }

  override recordCall(_service: string): void {
    // Nothing is counted.
  }
}

/** Reasons after which another instance may do better. */
const RETRIABLE_REASONS: ReadonlySet<string> = new Set([
  REASONS.overloadedInstance,
  REASONS.connectFailed,
  REASONS.connectionLost,
  REASONS.noBackendServer,
  REASONS.backendFailed,
  REASONS.leaving,
  REASONS.notStarted,
  REASONS.keyLedgerFull,
]);

/** Retries within the allowance that the request carries from end to end. */
export class AllowanceRetryPolicy extends RetryPolicy {
  override readonly isCounted = true;

  override mayRetry(question: RetryQuestion): boolean {
    const isSafe = question.isRepeatable || question.failure.kind === "refused";
    return isSafe && question.allowance > 0 && question.remainingMs > 0 &&
      RETRIABLE_REASONS.has(question.failure.reason);
  }

  override recordCall(_service: string): void {
    // The allowance is carried by the call.
  }
}
