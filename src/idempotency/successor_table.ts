/**
 * Successors of daemons that handed their keys over.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";
import { KEY_LIFETIME_MS } from "./key_ledger.ts";

/** Longest chain of successors that is followed. */
const MAX_CHAIN = 16;

/** Time for which a member that nobody knew is not asked for again, in milliseconds. */
const MISSING_RETENTION_MS = 5_000;

interface Succession {
  readonly successor: string;
  readonly learntAtMs: number;
}

/** Remembers successors for as long as the keys handed over may be used. */
export class SuccessorTable {
  readonly #clock: Clock;
  readonly #successions = new Map<string, Succession>();
  readonly #missing = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Learns from member records and forgets what no key needs any more. */
  update(records: readonly MemberRecord[]): void {
    const nowMs = this.#clock.monotonicMs();
    for (const { incarnation, successor } of records) {
      if (successor !== "" && !this.#successions.has(incarnation)) {
        this.#successions.set(incarnation, { successor, learntAtMs: nowMs });
      }
    }
    for (const [incarnation, { learntAtMs }] of this.#successions) {
      if (nowMs - learntAtMs > KEY_LIFETIME_MS) {
        this.#successions.delete(incarnation);
      }
    }
  }

  /** Notes that nobody knew a daemon process just now. */
  recordMissing(incarnation: string): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [other, missedAtMs] of this.#missing) {
      if (nowMs - missedAtMs > MISSING_RETENTION_MS) {
        this.#missing.delete(other);
      }
    }
    this.#missing.set(incarnation, nowMs);
  }

  /** Whether nobody knew a daemon process a short while ago, so that asking again is of no use yet. */
  isMissing(incarnation: string): boolean {
    const missedAtMs = this.#missing.get(incarnation) ?? -Infinity;
    return this.#clock.monotonicMs() - missedAtMs <= MISSING_RETENTION_MS;
  }

  /** The daemon process that holds the keys of `holder`, as far as is known. */
  findHolder(holder: string): string {
    let current = holder;
    for (let steps = 0; steps < MAX_CHAIN; steps += 1) {
      const next = this.#successions.get(current)?.successor;
      if (next === undefined) {
        return current;
      }
      current = next;
    }
    return current;
  }
}
