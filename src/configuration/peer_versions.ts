/**
 * Configuration versions reported by other daemons.
 */

/** A peer's notice of its active configuration version. */
export interface VersionNotice {
  readonly version: number;
  readonly incarnation: string;
  readonly address: string;
  readonly peerPort: number;
}

/** Stores the highest version reported by each peer. */
export class PeerVersions {
  readonly #notices = new Map<string, VersionNotice>();

  /** Records a version if it is higher; version 0 (no configuration) is ignored. */
  record(notice: VersionNotice): void {
    const known = this.#notices.get(notice.incarnation)?.version ?? 0;
    if (notice.version > known) {
      this.#notices.set(notice.incarnation, notice);
    }
  }

  /** Lists the notice with the highest version of each peer. */
  list(): VersionNotice[] {
    return [...this.#notices.values()];
  }

  /** Removes all peers except the given ones. */
  retain(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#notices.keys()) {
      if (!incarnations.has(incarnation)) {
        this.#notices.delete(incarnation);
      }
    }
  }
}
