/**
 * Decides whether a failed attempt of a call is retried.
 *
 * The baseline retries at every hop. The default policy retries within the
 * allowance that a request carries and within the retry budget of the service.
 */

import type { CallFailure } from "../outcome/mod.ts";
import { REASONS, UNREACHED_REASONS } from "../outcome/mod.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** A failed attempt and the state of its call. */
export interface RetryContext {
  readonly failure: CallFailure;
  readonly service: string;
  /** Attempts made so far, including the failed one. */
  readonly attempts: number;
  /** Attempts that were refused because the instance was overloaded. */
  readonly overloadedAttempts: number;
  /** Extra attempts that the call and its nested calls may still make. */
  readonly allowance: number;
  readonly isRepeatable: boolean;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Decides whether a failed attempt is retried. */
export abstract class RetryPolicy {
  /** Returns whether the attempt may be retried, and if so spends a retry token where one is needed. */
  abstract acquireRetry(context: RetryContext): boolean;

  /** Records a call to the service that was answered without an error. */
  abstract recordSuccess(service: string): void;

  /** Computes the part of an allowance that is passed to the next hop with an attempt. */
  abstract computeNestedAllowance(allowance: number): number;

  /** Whether a retry is deducted from the call's allowance. */
  abstract readonly spendsAllowance: boolean;
}

/** Maximum number of attempts that the baseline makes at every hop. */
const BASELINE_ATTEMPTS = 3;

/** Baseline: every hop makes up to three attempts if repeating is safe, whatever the failure reason. */
export class PerHopRetryPolicy extends RetryPolicy {
  override readonly spendsAllowance = false;

  override acquireRetry(context: RetryContext): boolean {
    const isSafe = context.isRepeatable || context.failure.kind === "refused";
    return isSafe && context.attempts < BASELINE_ATTEMPTS &&
      context.remainingMs > 0;
  }

  override recordSuccess(_service: string): void {
    // The baseline has no retry budget.
  }

  override computeNestedAllowance(allowance: number): number {
    return allowance;
  }
}

/** Reasons for which another instance may succeed. */
const RETRIABLE_REASONS: ReadonlySet<string> = new Set([
  REASONS.overloadedInstance,
  REASONS.connectFailed,
  REASONS.connectionLost,
  REASONS.noBackendServer,
  REASONS.backendFailed,
  REASONS.backendRefused,
  REASONS.answerMismatched,
  REASONS.answerTooLarge,
  REASONS.answerTruncated,
  REASONS.leaving,
  REASONS.notStarted,
  REASONS.keyLedgerFull,
]);

/** Number of overloaded instances from which the whole service counts as overloaded. */
const MAX_OVERLOADED_ATTEMPTS = 2;

/** Extra attempts that a hop reserves to retry after a lost reply. */
const RESERVED_ATTEMPTS = 1;

/** Retries within the end-to-end allowance of the request and the retry budget. */
export class AllowanceRetryPolicy extends RetryPolicy {
  override readonly spendsAllowance = true;
  readonly #budget: RetryBudget;

  constructor(budget: RetryBudget) {
    super();
    this.#budget = budget;
  }

  override acquireRetry(context: RetryContext): boolean {
    const { failure, allowance, remainingMs, overloadedAttempts } = context;
    const isSafe = context.isRepeatable || failure.kind === "refused";
    return isSafe && !failure.isGivenUp && allowance > 0 && remainingMs > 0 &&
      overloadedAttempts < MAX_OVERLOADED_ATTEMPTS &&
      RETRIABLE_REASONS.has(failure.reason) &&
      (UNREACHED_REASONS.has(failure.reason) ||
        this.#budget.spend(context.service));
  }

  override recordSuccess(service: string): void {
    this.#budget.earn(service);
  }

  override computeNestedAllowance(allowance: number): number {
    return allowance > RESERVED_ATTEMPTS
      ? allowance - RESERVED_ATTEMPTS
      : allowance;
  }
}
