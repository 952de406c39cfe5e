/**
 * How long a call may wait for a slot.
 */

/** Share of its remaining time that a new chain may wait for its first slot. */
const NEW_CHAIN_PATIENCE = 0.25;

/** What the wait depends on. */
export interface PatienceOptions {
  /** Whether the chain of calls has already done work elsewhere. */
  readonly isNested: boolean;
  /** Time for which a call holds its slot, in milliseconds. */
  readonly holdMs: number;
}

/**
 * Computes how long a call may wait: one of a running chain as long as it can
 * still run in time, a new one for a part of its time.
 *
 * @param remainingMs - Time until the deadline
 * @param options - Kind of the call and time for which it will run
 * @returns The wait in milliseconds
 *
 * @example
 * const patienceMs = computePatienceMs(800, { isNested: true, holdMs: 20 });
 */
export function computePatienceMs(
  remainingMs: number,
  { isNested, holdMs }: PatienceOptions,
): number {
  return isNested
    ? Math.max(0, remainingMs - holdMs)
    : Math.max(0, remainingMs) * NEW_CHAIN_PATIENCE;
}
