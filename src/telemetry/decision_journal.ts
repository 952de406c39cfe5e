/**
 * A bounded journal of decisions with the numbers behind them.
 */

import type { Clock } from "../time/mod.ts";

/** Entries kept by one daemon. */
const JOURNAL_ENTRIES = 2_000;

/** Kinds of decisions. */
export const DECISIONS = {
  refusal: "refusal",
  entryRefusal: "entry-refusal",
  limitChange: "limit-change",
  admitLevelChange: "admit-level-change",
  ejection: "ejection",
  readmission: "readmission",
  retryDenied: "retry-denied",
  connectionReplaced: "connection-replaced",
  keyTakeover: "key-takeover",
  keyHandOver: "key-hand-over",
  configurationChange: "configuration-change",
  configurationRefused: "configuration-refused",
  configurationWatch: "configuration-watch",
  membershipChange: "membership-change",
  leaving: "leaving",
  unknownOutcome: "unknown-outcome",
} as const;

/** One of {@link DECISIONS}. */
export type DecisionKind = (typeof DECISIONS)[keyof typeof DECISIONS];

/** Numbers and names behind a decision. */
export type DecisionFacts = Readonly<Record<string, string | number | boolean>>;

/** One decision. */
export interface JournalEntry {
  readonly atMs: number;
  readonly kind: DecisionKind;
  readonly requestId: string;
  readonly facts: DecisionFacts;
}

/** Which entries to list. */
export interface JournalFilter {
  readonly kind?: string | undefined;
  readonly requestId?: string | undefined;
  readonly sinceMs?: number | undefined;
}

/** Keeps the latest decisions of one daemon. */
export class DecisionJournal {
  readonly #clock: Clock;
  readonly #entries: JournalEntry[] = [];
  #next = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a decision; `requestId` is empty where it concerns no single request. */
  record(kind: DecisionKind, facts: DecisionFacts, requestId = ""): void {
    this.#entries[this.#next] = {
      atMs: this.#clock.nowMs(),
      kind,
      requestId,
      facts,
    };
    this.#next = (this.#next + 1) % JOURNAL_ENTRIES;
  }

  /** Lists matching entries, the oldest first. */
  list(filter: JournalFilter = {}): JournalEntry[] {
    const inOrder = [
      ...this.#entries.slice(this.#next),
      ...this.#entries.slice(0, this.#next),
    ];
    return inOrder.filter((entry) =>
      (filter.kind === undefined || entry.kind === filter.kind) &&
      (filter.requestId === undefined ||
        entry.requestId === filter.requestId) &&
      (filter.sinceMs === undefined || entry.atMs >= filter.sinceMs)
    );
  }
}
