/**
 * The outcome of a call after several attempts at it.
 */

import { err, ok } from "neverthrow";
import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { Answer, CallFailure, CallResult } from "../outcome/mod.ts";
import { isErrorAnswer } from "./is_error_answer.ts";

/** What is remembered of the attempts at one call. */
export class AttemptHistory {
  #errorAnswer: Answer | undefined;
  #hasUnknown = false;
  #overloadedCount = 0;

  /** Attempts that were refused because the instance was overloaded. */
  get overloadedCount(): number {
    return this.#overloadedCount;
  }

  /** Takes note of an attempt; its failure, or undefined when it succeeded. */
  note(result: CallResult): CallFailure | undefined {
    if (result.isOk()) {
      return isErrorAnswer(result)
        ? this.#noteErrorAnswer(result.value)
        : undefined;
    }
    const failure = result.error;
    this.#hasUnknown ||= failure.kind === "unknown";
    this.#overloadedCount += failure.reason === REASONS.overloadedInstance
      ? 1
      : 0;
    return failure;
  }

  /**
   * The outcome when no attempt succeeded: an error answer is passed on whole,
   * and an attempt that may have run is never turned into a refusal.
   */
  settle(failure: CallFailure, unusedAllowance: number): CallResult {
    const settled = { unusedAllowance, isGivenUp: true };
    if (this.#errorAnswer) {
      return ok({ ...this.#errorAnswer, ...settled });
    }
    const { reason, loads } = failure;
    return this.#hasUnknown
      ? err(createUnknownOutcome(reason, { loads, ...settled }))
      : err({ ...failure, ...settled });
  }

  #noteErrorAnswer(answer: Answer): CallFailure {
    this.#errorAnswer = answer;
    const { loads, isGivenUp = false } = answer;
    return createUnknownOutcome(REASONS.backendFailed, { loads, isGivenUp });
  }
}
