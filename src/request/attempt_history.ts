/**
 * Combines the attempts at a call into its outcome.
 */

import { err, ok } from "neverthrow";
import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type {
  Answer,
  CallFailure,
  CallResult,
  Reason,
} from "../outcome/mod.ts";
import { isErrorAnswer } from "./is_error_answer.ts";

/** Tracks the attempts at one call. */
export class AttemptHistory {
  #errorAnswer: Answer | undefined;
  #hasUnknown = false;
  #overloadedCount = 0;
  #triedReason: Reason | undefined;

  /** Number of attempts that were refused because the instance was overloaded. */
  get overloadedCount(): number {
    return this.#overloadedCount;
  }

  /** Records an attempt and returns its failure, or undefined if it succeeded. */
  record(result: CallResult): CallFailure | undefined {
    if (result.isOk()) {
      return isErrorAnswer(result)
        ? this.#recordErrorAnswer(result.value)
        : undefined;
    }
    const failure = result.error;
    this.#hasUnknown ||= failure.kind === "unknown";
    if (failure.reason !== REASONS.noInstance) {
      this.#triedReason = failure.reason;
    }
    this.#overloadedCount += failure.reason === REASONS.overloadedInstance
      ? 1
      : 0;
    return failure;
  }

  /**
   * Returns the outcome of a call without a successful attempt: an error answer
   * is passed on unchanged, and if any attempt may have run, the outcome is
   * unknown rather than a refusal.
   */
  buildResult(failure: CallFailure, unusedAllowance: number): CallResult {
    const retryState = { unusedAllowance, isGivenUp: true };
    if (this.#errorAnswer) {
      return ok({ ...this.#errorAnswer, ...retryState });
    }
    const { reason, loads } = failure;
    const tried = this.#triedReason !== undefined &&
      reason === REASONS.noInstance && { triedReason: this.#triedReason };
    const outcome = this.#hasUnknown
      ? createUnknownOutcome(reason, { loads, ...retryState })
      : { ...failure, ...retryState };
    return err({ ...outcome, ...tried });
  }

  #recordErrorAnswer(answer: Answer): CallFailure {
    this.#errorAnswer = answer;
    const { loads, isGivenUp = false } = answer;
    return createUnknownOutcome(REASONS.backendFailed, { loads, isGivenUp });
  }
}
