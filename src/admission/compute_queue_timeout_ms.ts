/**
 * How long a call may wait for a slot.
 *
 * Answers the pattern of a small service deep in the path under more load than
 * it can carry: if every call waits for as long as it can still run in time,
 * the queue stays as long as that, and requests that need several calls one
 * after the other are answered late or never. A queue that has not been empty
 * for a while is therefore kept short, while one that a burst or a short fault
 * has filled may be waited out (controlled delay).
 */

/** Share of its remaining time that a new chain may wait for its first slot. */
const NEW_CHAIN_PATIENCE = 0.25;

/** Time for which a queue may last before it counts as standing, in milliseconds; the time that a burst of callers takes to pass. */
const STANDING_AFTER_MS = 500;

/** Longest wait in a standing queue, as a multiple of the time for which calls hold their slot. */
const STANDING_WAIT_HOLDS = 4;

/** Longest wait in a standing queue of short calls, in milliseconds. */
const MIN_STANDING_WAIT_MS = 80;

/** What the wait depends on. */
export interface QueueTimeoutOptions {
  /** Whether the chain of calls has already done work elsewhere. */
  readonly isNested: boolean;
  /** Time for which a call holds its slot, in milliseconds. */
  readonly holdMs: number;
  /** Time since no call waited, in milliseconds. */
  readonly queuedForMs: number;
}

/**
 * Computes how long a call may wait: one of a running chain as long as it can
 * still run in time, a new one for a part of its time, neither for long in a
 * standing queue.
 *
 * @param remainingMs - Time until the deadline
 * @param options - Kind of the call, time for which it will run, and age of the queue
 * @returns The wait in milliseconds
 *
 * @example
 * const patienceMs = computePatienceMs(800, { isNested: true, holdMs: 20, queuedForMs: 0 });
 */
export function computeQueueTimeoutMs(
  remainingMs: number,
  { isNested, holdMs, queuedForMs }: QueueTimeoutOptions,
): number {
  const patienceMs = isNested
    ? Math.max(0, remainingMs - holdMs)
    : Math.max(0, remainingMs) * NEW_CHAIN_PATIENCE;
  return queuedForMs <= STANDING_AFTER_MS ? patienceMs : Math.min(
    patienceMs,
    Math.max(MIN_STANDING_WAIT_MS, holdMs * STANDING_WAIT_HOLDS),
  );
}
