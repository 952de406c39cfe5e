/**
 * Outcomes by key, bounded in entries and in bytes of saved answers.
 *
 * That a key was used is remembered until the key expires. Only the bytes of
 * an answer may be dropped earlier, the oldest first; the outcome is then
 * unknown to whoever asks again.
 */

import { err } from "neverthrow";
import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { DispatchState } from "./dispatch_state.ts";

/** Bounds of the memory. */
export interface OutcomeTableOptions {
  readonly maxEntries: number;
  readonly maxAnswerBytes: number;
}

/** What is remembered of one key. */
export interface StoredOutcome {
  readonly expiresAtMs: number;
  readonly result: Promise<CallResult>;
  /** The outcome once it is known. */
  readonly settled: CallResult | undefined;
  readonly guard: DispatchState;
}

interface Entry {
  expiresAtMs: number;
  result: Promise<CallResult>;
  settled: CallResult | undefined;
  answerBytes: number;
  readonly guard: DispatchState;
}

/** What to remember of a key. */
export interface NewOutcome {
  readonly expiresAtMs: number;
  readonly result: Promise<CallResult>;
  readonly guard?: DispatchState;
}

const FORGET_INTERVAL_MS = 1_000;

/** Remembers outcomes until their keys expire. */
export class OutcomeTable {
  readonly #options: OutcomeTableOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #answered = new Set<string>();
  #answerBytes = 0;
  #forgottenAtMs = -Infinity;

  constructor(options: OutcomeTableOptions) {
    this.#options = options;
  }

  /** Number of keys remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /** Bytes of the answers that are kept. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Whether `count` more keys can be remembered. */
  hasCapacity(count = 1): boolean {
    return this.#entries.size + count <= this.#options.maxEntries;
  }

  /** What is remembered of a key. */
  find(key: string): StoredOutcome | undefined {
    return this.#entries.get(key);
  }

  /** Every key with what is remembered of it. */
  list(): [string, StoredOutcome][] {
    return [...this.#entries];
  }

  /** Remembers a key from now on, and its outcome as soon as that is known. */
  add(
    key: string,
    { expiresAtMs, result, guard = { unresolvedRun: undefined } }: NewOutcome,
  ): void {
    this.remove(key);
    const entry: Entry = {
      expiresAtMs,
      result,
      settled: undefined,
      answerBytes: 0,
      guard,
    };
    this.#entries.set(key, entry);
    void result.then((settled) => this.#settle(key, entry, settled));
  }

  /** Forgets a key; only for keys whose request has provably not run. */
  remove(key: string): void {
    const entry = this.#entries.get(key);
    if (entry) {
      this.#entries.delete(key);
      this.#answered.delete(key);
      this.#answerBytes -= entry.answerBytes;
    }
  }

  /** Forgets the keys that have expired; does so at most once a second. */
  removeExpired(nowMs: number): void {
    if (nowMs - this.#forgottenAtMs < FORGET_INTERVAL_MS) {
      return;
    }
    this.#forgottenAtMs = nowMs;
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
      this.#dropAnswers();
    }
  }

  #dropAnswers(): void {
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
