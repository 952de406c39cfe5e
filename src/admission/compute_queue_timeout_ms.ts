/**
 * Computes how long a call may wait in the queue (controlled delay).
 *
 * If every call to an overloaded service deep in the path waited as long as it
 * could still finish in time, the queue would stay that long, and requests that
 * need several sequential calls would be answered late or never. A standing queue, one that
 * has not been empty for a while, is therefore kept short, while a queue caused
 * by a burst or a short fault is allowed to drain.
 */

/** Share of the remaining time that the first call of a chain may wait for a slot. */
const NEW_CHAIN_WAIT_RATIO = 0.25;

/** Age above which a queue counts as standing, in milliseconds; the time that a burst of callers takes to pass. */
const STANDING_QUEUE_AFTER_MS = 500;

/** Longest wait in a standing queue, as a multiple of the slot hold time. */
const STANDING_WAIT_HOLDS = 4;

/** The same for a nested call, as a share of the time after which it can no longer finish, if that is longer. Its callers would wait, whatever the hold time of this instance. */
const STANDING_WAIT_RATIO = 0.35;

/** Lower bound of the longest wait in a standing queue, for short calls, in milliseconds. */
const MIN_STANDING_WAIT_MS = 80;

/** Factors that the queue timeout depends on. */
export interface QueueTimeoutOptions {
  /** Whether the call is nested, so that its chain has already done work elsewhere. */
  readonly isNested: boolean;
  /** Expected slot hold time of a call, in milliseconds. */
  readonly holdMs: number;
  /** Time since the queue was last empty, in milliseconds. */
  readonly queuedForMs: number;
}

/**
 * Computes the longest wait in a standing queue.
 *
 * @param holdMs - Expected slot hold time of a call, in milliseconds
 * @param nestedRemainingMs - Time until the deadline of a nested call, in milliseconds; 0 for the first call of a chain
 * @returns The longest wait, in milliseconds
 *
 * @example
 * computeStandingWaitMs(30); // 120
 */
export function computeStandingWaitMs(
  holdMs: number,
  nestedRemainingMs = 0,
): number {
  return Math.max(
    MIN_STANDING_WAIT_MS,
    holdMs * STANDING_WAIT_HOLDS,
    (nestedRemainingMs - holdMs) * STANDING_WAIT_RATIO,
  );
}

/**
 * Computes how long a call may wait. A nested call may wait as long as it can
 * still finish before its deadline, the first call of a chain for a share of its
 * remaining time. In a standing queue both are limited to a short wait.
 *
 * @param remainingMs - Time until the deadline, in milliseconds
 * @param options - Kind of call, expected hold time and age of the queue
 * @returns The longest wait, in milliseconds
 *
 * @example
 * const timeoutMs = computeQueueTimeoutMs(800, { isNested: true, holdMs: 20, queuedForMs: 0 });
 */
export function computeQueueTimeoutMs(
  remainingMs: number,
  { isNested, holdMs, queuedForMs }: QueueTimeoutOptions,
): number {
  const timeoutMs = isNested
    ? Math.max(0, remainingMs - holdMs)
    : Math.max(0, remainingMs) * NEW_CHAIN_WAIT_RATIO;
  return queuedForMs <= STANDING_QUEUE_AFTER_MS ? timeoutMs : Math.min(
    timeoutMs,
    computeStandingWaitMs(holdMs, isNested ? remainingMs : 0),
  );
}
