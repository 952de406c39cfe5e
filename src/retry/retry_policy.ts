/**
 * Decisions about further attempts of one call.
 */

import type { CallFailure } from "../outcome/mod.ts";
import { REASONS, UNREACHED_REASONS } from "../outcome/mod.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** What a decision about a further attempt is based on. */
export interface RetryContext {
  readonly failure: CallFailure;
  readonly service: string;
  /** Attempts made so far for this call. */
  readonly attempts: number;
  /** How many of them were refused because the instance was overloaded. */
  readonly overloadedAttempts: number;
  /** Extra attempts that the call's subtree may still make. */
  readonly allowance: number;
  readonly isRepeatable: boolean;
  readonly remainingMs: number;
}

/** Decides whether a failed attempt is followed by another. */
export abstract class RetryPolicy {
  /** Whether another attempt may be made; if so, its token has been spent. */
  abstract acquireRetry(question: RetryContext): boolean;

  /** A call of the service was answered without an error. */
  abstract recordSuccess(service: string): void;

  /** The part of an allowance that goes down with an attempt. */
  abstract computeNestedAllowance(allowance: number): number;

  /** Whether an attempt spends from the call's allowance. */
  abstract readonly spendsAllowance: boolean;
}

/** Attempts that the baseline makes at every hop. */
const BASELINE_ATTEMPTS = 3;

/** The baseline: every hop tries up to three times, whatever the failure. */
export class PerHopRetryPolicy extends RetryPolicy {
  override readonly spendsAllowance = false;

  override acquireRetry(question: RetryContext): boolean {
    const isSafe = question.isRepeatable || question.failure.kind === "refused";
    return isSafe && question.attempts < BASELINE_ATTEMPTS &&
      question.remainingMs > 0;
  }

  override recordSuccess(_service: string): void {
    // Nothing is counted.
  }

  override computeNestedAllowance(allowance: number): number {
    return allowance;
  }
}

/** Reasons after which another instance may do better. */
const RETRIABLE_REASONS: ReadonlySet<string> = new Set([
  REASONS.overloadedInstance,
  REASONS.connectFailed,
  REASONS.connectionLost,
  REASONS.noBackendServer,
  REASONS.backendFailed,
  REASONS.backendRefused,
  REASONS.answerMismatched,
  REASONS.answerTruncated,
  REASONS.leaving,
  REASONS.notStarted,
  REASONS.keyLedgerFull,
]);

/** Overloaded instances after which the whole service counts as overloaded. */
const MAX_OVERLOADED_ATTEMPTS = 2;

/** Extra attempts that a hop keeps, so that it can retry after a lost reply. */
const KEPT_ATTEMPTS = 1;

/** Retries within the allowance that the request carries from end to end. */
export class AllowanceRetryPolicy extends RetryPolicy {
  override readonly spendsAllowance = true;
  readonly #budget: RetryBudget;

  constructor(budget: RetryBudget) {
    super();
    this.#budget = budget;
  }

  override acquireRetry(question: RetryContext): boolean {
    const { failure, allowance, remainingMs, overloadedAttempts } = question;
    const isSafe = question.isRepeatable || failure.kind === "refused";
    return isSafe && !failure.isGivenUp && allowance > 0 && remainingMs > 0 &&
      overloadedAttempts < MAX_OVERLOADED_ATTEMPTS &&
      RETRIABLE_REASONS.has(failure.reason) &&
      (UNREACHED_REASONS.has(failure.reason) ||
        this.#budget.spend(question.service));
  }

  override recordSuccess(service: string): void {
    this.#budget.earn(service);
  }

  override computeNestedAllowance(allowance: number): number {
    return allowance > KEPT_ATTEMPTS ? allowance - KEPT_ATTEMPTS : allowance;
  }
}
