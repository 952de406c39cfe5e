/**
 * When a started daemon may rely on the configuration that it has.
 *
 * A process keeps nothing over a restart, so it must not serve with a version
 * that is lower than one that was in force before. The store confirms a version;
 * where it cannot be reached, the highest among several peers does. What any
 * peer has counts in both cases, because the store may answer from the past.
 */

/** Peers that have to be heard, where that many are known. */
export const MIN_CONFIRMING_PEERS = 3;

/** Wait for that many peers before fewer are enough, in milliseconds. */
export const PEER_WAIT_TIMEOUT_MS = 2_000;

/** What is known about versions. */
export interface ConfirmationInput {
  readonly localVersion: number;
  /** Version that the store gave; 0 while it has not answered. */
  readonly storeVersion: number;
  /** Versions heard from peers that have a configuration. */
  readonly peerVersions: readonly number[];
  /** Time since the daemon started, in milliseconds. */
  readonly elapsedMs: number;
}

/**
 * Decides whether the own version is confirmed.
 *
 * @param input - What is known
 * @returns Whether the daemon may serve with its version
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
