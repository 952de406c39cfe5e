/**
 * Successors of daemons that handed over their keys.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";
import { KEY_LIFETIME_MS } from "./key_ledger.ts";

/** Maximum number of successors followed, which also ends cycles. */
const MAX_CHAIN_LENGTH = 16;

/** Time for which a daemon that no member knew is not looked up again, in milliseconds. */
const MISSING_RETENTION_MS = 5_000;

interface Succession {
  readonly successor: string;
  readonly recordedAtMs: number;
}

/** Tracks successors for the lifetime of the keys that were handed over. */
export class SuccessorTable {
  readonly #clock: Clock;
  readonly #successions = new Map<string, Succession>();
  readonly #missing = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds the successors in member records and removes those older than the key lifetime. */
  update(records: readonly MemberRecord[]): void {
    const nowMs = this.#clock.monotonicMs();
    for (const { incarnation, successor } of records) {
      if (successor !== "" && !this.#successions.has(incarnation)) {
        this.#successions.set(incarnation, { successor, recordedAtMs: nowMs });
      }
    }
    for (const [incarnation, { recordedAtMs }] of this.#successions) {
      if (nowMs - recordedAtMs > KEY_LIFETIME_MS) {
        this.#successions.delete(incarnation);
      }
    }
  }

  /** Records that no member knows a daemon process. */
  recordMissing(incarnation: string): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [other, missedAtMs] of this.#missing) {
      if (nowMs - missedAtMs > MISSING_RETENTION_MS) {
        this.#missing.delete(other);
      }
    }
    this.#missing.set(incarnation, nowMs);
  }

  /** Whether no member knew a daemon process recently, so that it need not be looked up again yet. */
  isMissing(incarnation: string): boolean {
    const missingAtMs = this.#missing.get(incarnation) ?? -Infinity;
    return this.#clock.monotonicMs() - missingAtMs <= MISSING_RETENTION_MS;
  }

  /** Returns the daemon process that holds the keys of `holder`, as far as known. */
  findHolder(holder: string): string {
    let current = holder;
    for (let steps = 0; steps < MAX_CHAIN_LENGTH; steps += 1) {
      const next = this.#successions.get(current)?.successor;
      if (next === undefined) {
        return current;
      }
      current = next;
    }
    return current;
  }
}
