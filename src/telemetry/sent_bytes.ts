/**
 * Counts of the bytes that a daemon sends to other daemons.
 */

/** A count with what it covers. */
export interface SentBytesCount {
  readonly purpose: string;
  /** Failure domain of the receiver; empty if it is unknown. */
  readonly failureDomain: string;
  readonly bytes: number;
}

/** Sums up sent bytes by purpose and by the receiver's failure domain. */
export class SentBytes {
  readonly #byDomain = new Map<string, Map<string, number>>();

  /** Adds bytes that were sent for a purpose to a failure domain. */
  record(purpose: string, failureDomain: string, bytes: number): void {
    let byPurpose = this.#byDomain.get(failureDomain);
    if (!byPurpose) {
      byPurpose = new Map();
      this.#byDomain.set(failureDomain, byPurpose);
    }
    byPurpose.set(purpose, (byPurpose.get(purpose) ?? 0) + bytes);
  }

  /** Lists all counts. */
  list(): SentBytesCount[] {
    return [...this.#byDomain].flatMap(([failureDomain, byPurpose]) =>
      [...byPurpose].map(([purpose, bytes]) => ({
        purpose,
        failureDomain,
        bytes,
      }))
    );
  }
}
