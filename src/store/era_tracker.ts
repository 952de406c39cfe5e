/**
 * Tracking of the store's era.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

/** Maximum number of events that are remembered and reported. */
const MAX_REPORTED = 256;

/** An era that was seen for the first time, or an answer that was ignored because of its era. */
export interface EraEvent {
  /**
   * - `first`: the first era that the store stated.
   * - `returned`: a higher one; the store returned from a copy.
   * - `invalid`: the answer states no era or one that is no whole number.
   * - `outdated`: the answer is from an earlier era.
   */
  readonly kind: "first" | "returned" | "invalid" | "outdated";
  /** The latest known era; 0 if none is known. */
  readonly era: number;
  /** What the answer states; empty if nothing. */
  readonly stated: string;
}

/** Reports an event; each combination of kind and stated value is reported once. */
export type ReportEra = (event: EraEvent) => void;

/** Remembers the highest era and rejects answers that are not from it. */
export class EraTracker {
  readonly #report: ReportEra;
  readonly #reported = new Set<string>();
  #era = 0;

  constructor(report: ReportEra = () => undefined) {
    this.#report = report;
  }

  /** The latest known era; 0 before the store has stated one. */
  get era(): number {
    return this.#era;
  }

  /**
   * Records the era that an answer states. Returns the era of the answer, or the
   * reason why the answer must be ignored. While no era is known, an answer
   * without one belongs to era 0, as for a store that has no eras.
   */
  accept(stated: string | undefined): Result<number, string> {
    const era = parseEra(stated);
    if (era === undefined) {
      this.#reportOnce("invalid", stated ?? "");
      return this.#era === 0
        ? ok(0)
        : err("the answer does not state the store's era");
    }
    if (era < this.#era) {
      this.#reportOnce("outdated", String(era));
      return err(`the answer is from era ${era}, before era ${this.#era}`);
    }
    if (era > this.#era) {
      const kind = this.#era === 0 ? "first" : "returned";
      this.#era = era;
      this.#reportOnce(kind, String(era));
    }
    return ok(era);
  }

  #reportOnce(kind: EraEvent["kind"], stated: string): void {
    const key = `${kind} ${stated}`;
    if (!this.#reported.has(key) && this.#reported.size < MAX_REPORTED) {
      this.#reported.add(key);
      this.#report({ kind, era: this.#era, stated });
    }
  }
}

function parseEra(stated: string | undefined): number | undefined {
  const era = Number(stated);
  return stated !== undefined && /^\d+$/.test(stated) &&
      Number.isSafeInteger(era)
    ? era
    : undefined;
}
