/**
 * Versions that other daemons have told.
 */

/** Remembers the highest version heard from each peer. */
export class PeerVersions {
  readonly #versions = new Map<string, number>();

  /** Notes a version; peers without a configuration do not count. */
  record(incarnation: string, version: number): void {
    if (version > this.get(incarnation)) {
      this.#versions.set(incarnation, version);
    }
  }

  /** The highest version heard from a peer; 0 if none. */
  get(incarnation: string): number {
    return this.#versions.get(incarnation) ?? 0;
  }

  /** Versions of all peers. */
  listVersions(): number[] {
    return [...this.#versions.values()];
  }

  /** Forgets all but the given peers. */
  retain(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#versions.keys()) {
      if (!incarnations.has(incarnation)) {
        this.#versions.delete(incarnation);
      }
    }
  }
}
