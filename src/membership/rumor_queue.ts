/**
 * Records that wait to be told to others.
 */

import type { MemberRecord } from "../generated/types.ts";

/** Messages that carry a rumor after it was pushed. */
const PIGGYBACKS_PER_RUMOR = 5;

/** Rumors that wait at most. */
const MAX_RUMORS = 512;

interface Rumor {
  readonly record: MemberRecord;
  piggybacksLeft: number;
}

/** The latest record of each incarnation that is news, the least told first. */
export class RumorQueue {
  readonly #fresh = new Map<string, MemberRecord>();
  readonly #told = new Map<string, Rumor>();

  /** Rumors that were not pushed yet. */
  get freshCount(): number {
    return this.#fresh.size;
  }

  /** Adds news; older news of the same incarnation is dropped. */
  add(record: MemberRecord): void {
    this.#told.delete(record.incarnation);
    this.#fresh.delete(record.incarnation);
    this.#fresh.set(record.incarnation, record);
    dropOldest(this.#fresh);
  }

  /** Rumors to push, in the order of their arrival. */
  listFresh(): MemberRecord[] {
    return [...this.#fresh.values()];
  }

  /** Notes that rumors were pushed; from now on they ride on other messages. */
  markPushed(records: readonly MemberRecord[]): void {
    for (const record of records) {
      if (this.#fresh.get(record.incarnation) === record) {
        this.#fresh.delete(record.incarnation);
        this.#told.set(record.incarnation, {
          record,
          piggybacksLeft: PIGGYBACKS_PER_RUMOR,
        });
      }
    }
    dropOldest(this.#told);
  }

  /** Rumors that may ride on a message. */
  listPiggybacks(): MemberRecord[] {
    const told = [...this.#told.values()].sort((one, other) =>
      other.piggybacksLeft - one.piggybacksLeft
    );
    return [...this.#fresh.values(), ...told.map(({ record }) => record)];
  }

  /** Notes that rumors rode on a message. */
  markPiggybacked(records: readonly MemberRecord[]): void {
    for (const { incarnation } of records) {
      const rumor = this.#told.get(incarnation);
      if (rumor) {
        rumor.piggybacksLeft -= 1;
        if (rumor.piggybacksLeft <= 0) {
          this.#told.delete(incarnation);
        }
      }
    }
  }
}

function dropOldest(rumors: Map<string, unknown>): void {
  for (const incarnation of rumors.keys()) {
    if (rumors.size <= MAX_RUMORS) {
      return;
    }
    rumors.delete(incarnation);
  }
}
