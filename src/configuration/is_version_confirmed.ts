/**
 * Decides when a started daemon may serve with its configuration.
 *
 * A process keeps no state across a restart, so it must not serve with a version
 * lower than one that was active before. The store confirms a version; if the
 * store is unreachable, the highest version among several peers does. The versions
 * of all peers count in both cases, because the store may return stale reads.
 */

/** Number of peer versions that confirm a version without waiting. */
export const MIN_CONFIRMING_PEERS = 3;

/**
 * Time to wait for {@link MIN_CONFIRMING_PEERS} peers before fewer are
 * sufficient, in milliseconds.
 */
export const PEER_WAIT_TIMEOUT_MS = 2_000;

/** The versions known to a daemon. */
export interface ConfirmationInput {
  readonly localVersion: number;
  /** Version read from the store; 0 until the store has responded. */
  readonly storeVersion: number;
  /** Versions reported by peers that have a configuration. */
  readonly peerVersions: readonly number[];
  /** Time since the daemon started, in milliseconds. */
  readonly elapsedMs: number;
}

/**
 * Decides whether the local version is confirmed.
 *
 * @param input - The known versions
 * @returns Whether the daemon may serve with its local version
 *
 * @example
 * isVersionConfirmed({ localVersion: 7, storeVersion: 7, peerVersions: [7, 7, 6], elapsedMs: 200 });
 */
export function isVersionConfirmed(input: ConfirmationInput): boolean {
  const { localVersion, storeVersion, peerVersions, elapsedMs } = input;
  const highest = Math.max(storeVersion, ...peerVersions);
  if (localVersion === 0 || localVersion < highest) {
    return false;
  }
  if (peerVersions.length >= MIN_CONFIRMING_PEERS) {
    return true;
  }
  const hasSource = storeVersion > 0 || peerVersions.length > 0;
  return hasSource && elapsedMs >= PEER_WAIT_TIMEOUT_MS;
}
