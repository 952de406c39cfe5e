/**
 * When a started daemon may rely on the configuration that it has.
 *
 * A process keeps nothing over a restart, so it must not serve with a version
 * that is lower than one that was in force before. The store confirms a version;
 * where it cannot be reached, the highest among several peers does. What any
 * peer has counts in both cases, because the store may answer from the past.
 */

/** Peers that have to be heard, where that many are known. */
export const CONFIRMING_PEERS = 3;

/** Wait for that many peers before fewer are enough, in milliseconds. */
export const PEER_WAIT_MS = 2_000;

/** What is known about versions. */
export interface ConfirmationFacts {
  readonly ownVersion: number;
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
 * @param facts - What is known
 * @returns Whether the daemon may serve with its version
 *
 * @example
 * isVersionConfirmed({ ownVersion: 7, storeVersion: 7, peerVersions: [7, 7, 6], elapsedMs: 200 });
 */
export function isVersionConfirmed(facts: ConfirmationFacts): boolean {
  const { ownVersion, storeVersion, peerVersions, elapsedMs } = facts;
  const highest = Math.max(storeVersion, ...peerVersions);
  if (ownVersion === 0 || ownVersion < highest) {
    return false;
  }
  if (peerVersions.length >= CONFIRMING_PEERS) {
    return true;
  }
  const hasWitness = storeVersion > 0 || peerVersions.length > 0;
  return hasWitness && elapsedMs >= PEER_WAIT_MS;
}
