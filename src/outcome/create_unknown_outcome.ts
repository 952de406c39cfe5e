/**
 * Creation of unknown outcomes.
 */

import type { LoadSignal } from "../generated/types.ts";
import type { Reason, UnknownOutcome } from "./outcome.ts";

/** Optional parts of an unknown outcome. */
export interface UnknownOutcomeOptions {
  /** Retry allowance left, in attempts. */
  readonly unusedAllowance?: number;
  /** Load signals to carry back. */
  readonly loads?: readonly LoadSignal[];
  /** Whether a hop further down has already given up retrying. */
  readonly isGivenUp?: boolean;
}

/**
 * Creates an unknown outcome: the attempt may have run.
 *
 * @param reason - What kept the outcome from being known
 * @param options - Allowance left and load signals
 * @returns The unknown outcome
 *
 * @example
 * createUncertainty(REASONS.connectionLost);
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
