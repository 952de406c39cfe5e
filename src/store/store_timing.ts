/**
 * Timeouts of the calls to the object API.
 *
 * A connection that stopped delivering without a reset is noticed only by a
 * timeout, so that all of them derive from the time within which a daemon must
 * notice it.
 */

/** Timeouts, in milliseconds. */
export interface StoreTiming {
  /** Time for which the store may hold a watch. */
  readonly watchTimeoutMs: number;
  /** Added to the timeout of a watch before the request is aborted. */
  readonly watchGraceMs: number;
  /** Timeout of a call that the store answers at once. */
  readonly requestTimeoutMs: number;
  /** Timeout for establishing a connection. */
  readonly connectTimeoutMs: number;
}

/** Contact time if the deployment states none, in milliseconds. */
export const DEFAULT_CONTACT_MS = 4_000;

/** Lower bound of the contact time, in milliseconds, so that watches remain longer than answers take. */
const MIN_CONTACT_MS = 1_000;

/** Share of the contact time for which the store may hold a watch. */
const WATCH_RATIO = 3 / 8;

/** Share for the answer to a watch that ended; with the watch itself, half of the contact time. */
const GRACE_RATIO = 1 / 8;

const REQUEST_RATIO = 1 / 2;
const CONNECT_RATIO = 1 / 4;

/**
 * Derives the timeouts from the contact time. A watch that gets no answer ends
 * after half of it, which leaves the other half for a read on a new connection and
 * for the distribution to the other daemons.
 *
 * @param contactMs - Time after a loss of contact within which daemons must have noticed
 *   it and continue on new connections, in milliseconds
 * @returns The timeouts
 *
 * @example
 * createStoreTiming(4_000).watchTimeoutMs; // 1_500
 */
export function createStoreTiming(contactMs: number): StoreTiming {
  const limitMs = Math.max(contactMs, MIN_CONTACT_MS);
  return {
    watchTimeoutMs: Math.floor(limitMs * WATCH_RATIO),
    watchGraceMs: Math.floor(limitMs * GRACE_RATIO),
    requestTimeoutMs: Math.floor(limitMs * REQUEST_RATIO),
    connectTimeoutMs: Math.floor(limitMs * CONNECT_RATIO),
  };
}
