/**
 * Deduplication of rumors about members whose records are forwarded but not
 * stored.
 */

import type { MemberRecord } from "../generated/types.ts";
import { supersedes } from "./supersedes.ts";

/** Maximum number of forwarded records remembered. */
const MAX_SEEN = 512;

/** Maximum number of incarnations whose records are expected. */
const MAX_EXPECTED = 256;

/** Latest forwarded record of each incarnation, and the incarnations whose records are expected. */
export class SeenRumors {
  readonly #seen = new Map<string, MemberRecord>();
  readonly #expected = new Set<string>();

  /**
   * Adds a record. Returns whether it is newer than the remembered record of
   * its incarnation, if any.
   */
  addIfNew(record: MemberRecord): boolean {
    const known = this.#seen.get(record.incarnation);
    if (known && !supersedes(record, known)) {
      return false;
    }
    this.#seen.delete(record.incarnation);
    this.#seen.set(record.incarnation, record);
    dropOldest(this.#seen, MAX_SEEN);
    return true;
  }

  /** Marks an incarnation whose record is to be stored when it arrives. */
  expectRecord(incarnation: string): void {
    this.#expected.add(incarnation);
    dropOldest(this.#expected, MAX_EXPECTED);
  }

  /** Whether the record of an incarnation is to be stored. */
  isExpected(incarnation: string): boolean {
    return this.#expected.has(incarnation);
  }
}

function dropOldest(
  entries: Map<string, unknown> | Set<string>,
  limit: number,
): void {
  for (const incarnation of entries.keys()) {
    if (entries.size <= limit) {
      return;
    }
    entries.delete(incarnation);
  }
}
