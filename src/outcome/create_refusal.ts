/**
 * Creation of refusals.
 */

import type { LoadSignal } from "../generated/types.ts";
import type { Reason, Refusal } from "./outcome.ts";

/** Optional parts of a refusal. */
export interface RefusalOptions {
  /** Wait to suggest to the caller, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Retry allowance left, in attempts. */
  readonly unusedAllowance?: number;
  /** Load signals to carry back. */
  readonly loads?: readonly LoadSignal[];
  /** Whether a hop further down has already given up retrying. */
  readonly isGivenUp?: boolean;
}

/**
 * Creates a refusal: a true statement that this attempt ran nowhere.
 *
 * @param reason - Why the attempt was refused
 * @param options - Suggested wait, allowance left and load signals
 * @returns The refusal
 *
 * @example
 * createRefusal(REASONS.noInstance, { retryAfterMs: 500 });
 */
export function createRefusal(
  reason: Reason,
  options: RefusalOptions = {},
): Refusal {
  return {
    kind: "refused",
    reason,
    retryAfterMs: options.retryAfterMs ?? 0,
    unusedAllowance: options.unusedAllowance ?? 0,
    loads: options.loads ?? [],
    isGivenUp: options.isGivenUp ?? false,
  };
}
