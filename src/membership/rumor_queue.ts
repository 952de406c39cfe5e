/**
 * Queue of records to disseminate to other members.
 */

import type { MemberRecord } from "../generated/types.ts";

/** Number of messages on which a rumor is piggybacked after it was pushed. */
const PIGGYBACKS_PER_RUMOR = 5;

/** Maximum number of unpushed rumors, and of pushed ones. */
const MAX_RUMORS = 512;

interface Rumor {
  readonly record: MemberRecord;
  piggybacksLeft: number;
}

/** Latest record of each changed incarnation, least disseminated first. */
export class RumorQueue {
  readonly #unpushed = new Map<string, MemberRecord>();
  readonly #pushed = new Map<string, Rumor>();

  /** Number of rumors that have not been pushed yet. */
  get unpushedCount(): number {
    return this.#unpushed.size;
  }

  /** Adds a rumor, replacing an earlier one about the same incarnation. */
  add(record: MemberRecord): void {
    this.#pushed.delete(record.incarnation);
    this.#unpushed.delete(record.incarnation);
    this.#unpushed.set(record.incarnation, record);
    dropOldest(this.#unpushed);
  }

  /** Lists the rumors to push, in order of arrival. */
  listUnpushed(): MemberRecord[] {
    return [...this.#unpushed.values()];
  }

  /** Marks rumors as pushed. They are then piggybacked on other messages. */
  markPushed(records: readonly MemberRecord[]): void {
    for (const record of records) {
      if (this.#unpushed.get(record.incarnation) === record) {
        this.#unpushed.delete(record.incarnation);
        this.#pushed.set(record.incarnation, {
          record,
          piggybacksLeft: PIGGYBACKS_PER_RUMOR,
        });
      }
    }
    dropOldest(this.#pushed);
  }

  /** Lists the rumors that can be piggybacked, least disseminated first. */
  listPiggybacks(): MemberRecord[] {
    const pushed = [...this.#pushed.values()].sort((one, other) =>
      other.piggybacksLeft - one.piggybacksLeft
    );
    return [...this.#unpushed.values(), ...pushed.map(({ record }) => record)];
  }

  /** Records that rumors were piggybacked on a message. */
  markPiggybacked(records: readonly MemberRecord[]): void {
    for (const { incarnation } of records) {
      const rumor = this.#pushed.get(incarnation);
      if (rumor) {
        rumor.piggybacksLeft -= 1;
        if (rumor.piggybacksLeft <= 0) {
          this.#pushed.delete(incarnation);
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
