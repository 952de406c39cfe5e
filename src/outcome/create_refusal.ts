/**
 * Creates refusals.
 */

import type { LoadSignal } from "../generated/types.ts";
import type { Reason, Refusal } from "./outcome.ts";

/** Optional parts of a refusal. */
export interface RefusalOptions {
  /** Suggested retry delay, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Unused part of the retry allowance, in attempts. */
  readonly unusedAllowance?: number;
  /** Load signals to return to the caller. */
  readonly loads?: readonly LoadSignal[];
  /** Whether a downstream hop has already given up retrying. */
  readonly isGivenUp?: boolean;
}

/**
 * Creates a refusal, which guarantees that the attempt was not executed.
 *
 * @param reason - Why the attempt was refused
 * @param options - Suggested retry delay, unused allowance and load signals
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
