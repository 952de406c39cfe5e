/**
 * Versions that other daemons have told.
 */

/** A peer's word about the configuration that it has in force. */
export interface VersionNotice {
  readonly version: number;
  readonly incarnation: string;
  readonly address: string;
  readonly peerPort: number;
}

/** Remembers the highest version heard from each peer. */
export class PeerVersions {
  readonly #notices = new Map<string, VersionNotice>();

  /** Takes note of a version; peers without a configuration do not count. */
  record(notice: VersionNotice): void {
    const known = this.#notices.get(notice.incarnation)?.version ?? 0;
    if (notice.version > known) {
      this.#notices.set(notice.incarnation, notice);
    }
  }

  /** What each peer told last. */
  list(): VersionNotice[] {
    return [...this.#notices.values()];
  }

  /** Forgets all but the given peers. */
  retain(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#notices.keys()) {
      if (!incarnations.has(incarnation)) {
        this.#notices.delete(incarnation);
      }
    }
  }
}
