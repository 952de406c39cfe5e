/**
 * Outcomes by key, limited in the number of entries and the bytes of answers.
 *
 * An entry is kept until its key expires. Only answers may be dropped earlier,
 * the oldest first; the outcome is then unknown to later uses of the key.
 */

import { err } from "neverthrow";
import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { DispatchState } from "./dispatch_state.ts";

/** Limits of the table. */
export interface OutcomeTableOptions {
  readonly maxEntries: number;
  readonly maxAnswerBytes: number;
}

/** The entry of a key. */
export interface StoredOutcome {
  /** Time at which the entry expires, in milliseconds since the epoch. */
  readonly expiresAtMs: number;
  readonly result: Promise<CallResult>;
  /** The outcome, once the call has ended. */
  readonly settled: CallResult | undefined;
  readonly state: DispatchState;
}

interface Entry {
  expiresAtMs: number;
  result: Promise<CallResult>;
  settled: CallResult | undefined;
  answerBytes: number;
  readonly state: DispatchState;
}

/** The entry to add for a key. */
export interface NewOutcome {
  readonly expiresAtMs: number;
  readonly result: Promise<CallResult>;
  readonly state?: DispatchState;
}

/** Minimum interval between removals of expired entries, in milliseconds. */
const EXPIRY_INTERVAL_MS = 1_000;

/** Stores outcomes until their keys expire. */
export class OutcomeTable {
  readonly #options: OutcomeTableOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #answered = new Set<string>();
  #answerBytes = 0;
  #expiredAtMs = -Infinity;

  constructor(options: OutcomeTableOptions) {
    this.#options = options;
  }

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /** Total size of the stored answers, in bytes. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Whether `count` more entries fit. */
  hasCapacity(count = 1): boolean {
    return this.#entries.size + count <= this.#options.maxEntries;
  }

  /** Returns the entry of a key. */
  find(key: string): StoredOutcome | undefined {
    return this.#entries.get(key);
  }

  /** Lists all keys with their entries. */
  list(): [string, StoredOutcome][] {
    return [...this.#entries];
  }

  /** Adds or replaces the entry of a key; its outcome is stored once `result` resolves. */
  add(
    key: string,
    { expiresAtMs, result, state = { unresolvedRun: undefined } }: NewOutcome,
  ): void {
    this.remove(key);
    const entry: Entry = {
      expiresAtMs,
      result,
      settled: undefined,
      answerBytes: 0,
      state,
    };
    this.#entries.set(key, entry);
    void result.then((settled) => this.#settle(key, entry, settled));
  }

  /** Removes the entry of a key. Callers must ensure that its request has not run. */
  remove(key: string): void {
    const entry = this.#entries.get(key);
    if (entry) {
      this.#entries.delete(key);
      this.#answered.delete(key);
      this.#answerBytes -= entry.answerBytes;
    }
  }

  /** Removes expired entries, at most once per second. */
  removeExpired(nowMs: number): void {
    if (nowMs - this.#expiredAtMs < EXPIRY_INTERVAL_MS) {
      return;
    }
    this.#expiredAtMs = nowMs;
    for (const [key, { expiresAtMs }] of this.#entries) {
      if (expiresAtMs < nowMs) {
        this.remove(key);
      }
    }
  }

  #settle(key: string, entry: Entry, settled: CallResult): void {
    if (this.#entries.get(key) !== entry) {
      return;
    }
    entry.settled = settled;
    if (settled.isOk()) {
      entry.answerBytes = settled.value.body.length;
      this.#answerBytes += entry.answerBytes;
      this.#answered.add(key);
      this.#dropOldestAnswers();
    }
  }

  #dropOldestAnswers(): void {
    for (const key of this.#answered) {
      if (this.#answerBytes <= this.#options.maxAnswerBytes) {
        return;
      }
      this.#dropAnswer(key);
    }
  }

  #dropAnswer(key: string): void {
    this.#answered.delete(key);
    const entry = this.#entries.get(key);
    if (!entry) {
      return;
    }
    this.#answerBytes -= entry.answerBytes;
    entry.answerBytes = 0;
    entry.settled = err(createUnknownOutcome(REASONS.answerDropped));
    entry.result = Promise.resolve(entry.settled);
  }
}
