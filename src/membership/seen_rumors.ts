/**
 * Memory of news about members that are passed on but not kept.
 */

import type { MemberRecord } from "../generated/types.ts";
import { supersedes } from "./supersedes.ts";

/** Records remembered. */
const MAX_SEEN = 512;

/** Incarnations that are waited for. */
const MAX_EXPECTED = 256;

/** The latest records that were passed on, and the incarnations that are to be kept. */
export class SeenRumors {
  readonly #seen = new Map<string, MemberRecord>();
  readonly #expected = new Set<string>();

  /** Whether a record was not passed on before; it counts as passed on from now. */
  isNews(record: MemberRecord): boolean {
    const known = this.#seen.get(record.incarnation);
    if (known && !supersedes(record, known)) {
      return false;
    }
    this.#seen.delete(record.incarnation);
    this.#seen.set(record.incarnation, record);
    dropOldest(this.#seen, MAX_SEEN);
    return true;
  }

  /** Wants the record of an incarnation to be kept when it comes. */
  expect(incarnation: string): void {
    this.#expected.add(incarnation);
    dropOldest(this.#expected, MAX_EXPECTED);
  }

  /** Whether the record of an incarnation is to be kept. */
  isExpected(incarnation: string): boolean {
    return this.#expected.has(incarnation);
  }
}

function dropOldest(
  kept: Map<string, unknown> | Set<string>,
  limit: number,
): void {
  for (const incarnation of kept.keys()) {
    if (kept.size <= limit) {
      return;
    }
    kept.delete(incarnation);
  }
}
