/**
 * Creates unknown outcomes.
 */

import type { LoadSignal } from "../generated/types.ts";
import type { Reason, UnknownOutcome } from "./outcome.ts";

/** Optional parts of an unknown outcome. */
export interface UnknownOutcomeOptions {
  /** Unused part of the retry allowance, in attempts. */
  readonly unusedAllowance?: number;
  /** Load signals to return to the caller. */
  readonly loads?: readonly LoadSignal[];
  /** Whether a downstream hop has already given up retrying. */
  readonly isGivenUp?: boolean;
}

/**
 * Creates an unknown outcome: the attempt may have been executed.
 *
 * @param reason - Why the outcome is unknown
 * @param options - Unused allowance and load signals
 * @returns The unknown outcome
 *
 * @example
 * createUnknownOutcome(REASONS.connectionLost);
 */
export function createUnknownOutcome(
  reason: Reason,
  options: UnknownOutcomeOptions = {},
): UnknownOutcome {
  return {
    kind: "unknown",
    reason,
    unusedAllowance: options.unusedAllowance ?? 0,
    loads: options.loads ?? [],
    isGivenUp: options.isGivenUp ?? false,
  };
}
