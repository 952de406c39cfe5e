/**
 * Ledger of the idempotency keys that this daemon holds, which are those it
 * issued and those it took over from daemons that stopped. It dispatches the
 * request of each key at most once.
 */

import { err } from "neverthrow";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { DispatchState } from "./dispatch_state.ts";
import { encodeIdempotencyKey } from "./idempotency_key.ts";
import type { IdempotencyKey } from "./idempotency_key.ts";
import { OutcomeTable } from "./outcome_table.ts";
import type {
  NewOutcome,
  OutcomeTableOptions,
  StoredOutcome,
} from "./outcome_table.ts";
import { MonotonicWallClock } from "./monotonic_wall_clock.ts";

/** Lifetime of a key, in milliseconds. */
export const KEY_LIFETIME_MS = 600_000;

/** Retry delay suggested to callers when the ledger is full, in milliseconds. */
const LEDGER_FULL_RETRY_AFTER_MS = 1_000;

/** Timeout for receiving the outcome of a dispatch that was in progress at the former holder, in milliseconds. */
const HANDED_OVER_RUN_TIMEOUT_MS = 60_000;

const DEFAULT_BOUNDS: OutcomeTableOptions = {
  maxEntries: 40_000,
  maxAnswerBytes: 8_388_608,
};

/** Dependencies and limits of the ledger. */
export interface KeyLedgerOptions {
  readonly incarnation: string;
  readonly fleetToken: string;
  readonly clock: Clock;
  readonly bounds?: OutcomeTableOptions;
}

/** A use of a key by a caller. */
export interface KeyUse {
  /** Attempt number stated by the caller; 0 if none. */
  readonly attempt: number;
  /** Dispatches the request. */
  readonly dispatch: (state: DispatchState) => Promise<CallResult>;
  /** Queries the outcome of a dispatch that ended as unknown; returns undefined if there is nothing to query. */
  readonly resolveOutcome: (
    state: DispatchState,
  ) => Promise<CallResult> | undefined;
}

/** A used key with its outcome, as far as known. */
export interface UsedKey {
  readonly holder: string;
  readonly sequence: number;
  /** Time since the epoch on the clock of this daemon, in milliseconds. */
  readonly expiresAtMs: number;
  readonly outcome: StoredOutcome;
}

/** Issues keys and dispatches the request of each at most once. */
export class KeyLedger {
  readonly #options: KeyLedgerOptions;
  readonly #time: MonotonicWallClock;
  readonly #outcomes: OutcomeTable;
  /** For each holder, the offset of its clock from this daemon's, in milliseconds. */
  readonly #offsetsMs = new Map<string, number>();
  /** Resolvers of the outcomes that a former holder has yet to send. */
  readonly #pendingImports = new Map<string, (result: CallResult) => void>();
  #nextSequence = 1;
  #nextRunNumber = 1;

  constructor(options: KeyLedgerOptions) {
    this.#options = options;
    this.#time = new MonotonicWallClock(options.clock);
    this.#outcomes = new OutcomeTable(options.bounds ?? DEFAULT_BOUNDS);
    this.#offsetsMs.set(options.incarnation, 0);
  }

  /** Daemon processes whose keys are held here, with the current time on the clock of each. */
  get holders(): { holder: string; nowMs: number }[] {
    return [...this.#offsetsMs].map(([holder, offsetMs]) => ({
      holder,
      nowMs: this.#time.nowMs() + offsetMs,
    }));
  }

  /** Number of used keys in the ledger. */
  get size(): number {
    return this.#outcomes.size;
  }

  /** Whether the keys issued by daemon process `holder` are held here. */
  holds(holder: string): boolean {
    return this.#offsetsMs.has(holder);
  }

  /** Issues a key held by this daemon. */
  issueKey(): string {
    const { incarnation, fleetToken } = this.#options;
    const key = {
      holder: incarnation,
      issuedAtMs: Math.floor(this.#time.nowMs()),
      sequence: this.#nextSequence,
    };
    this.#nextSequence += 1;
    return encodeIdempotencyKey(key, fleetToken);
  }

  /** Allocates a run number that is unique for this daemon process. */
  allocateRunNumber(): number {
    const runNumber = this.#nextRunNumber;
    this.#nextRunNumber += 1;
    return runNumber;
  }

  /** Dispatches the request of a key held here, or joins an earlier dispatch. Expired keys and a full ledger end without a dispatch. */
  runOnce(key: IdempotencyKey, use: KeyUse): Promise<CallResult> {
    this.#outcomes.removeExpired(this.#time.nowMs());
    const id = createKeyId(key.holder, key.sequence);
    const stored = this.#outcomes.find(id);
    if (stored) {
      return this.#joinDispatch(id, stored, use);
    }
    const expiresAtMs = this.#expiresAtMs(key.holder, key.issuedAtMs);
    if (expiresAtMs < this.#time.nowMs()) {
      return Promise.resolve(err(createExpiryFailure(use.attempt)));
    }
    if (!this.#outcomes.hasCapacity()) {
      const retryAfterMs = LEDGER_FULL_RETRY_AFTER_MS;
      return Promise.resolve(
        err(createRefusal(REASONS.keyLedgerFull, { retryAfterMs })),
      );
    }
    const state: DispatchState = { unresolvedRun: undefined };
    const result = Promise.resolve().then(() => use.dispatch(state));
    return this.#addOutcome(id, { expiresAtMs, result, state });
  }

  /** Lists the used keys in the ledger. */
  listUsedKeys(): UsedKey[] {
    return this.#outcomes.list().map(([id, outcome]) => {
      const end = id.lastIndexOf("#");
      return {
        holder: id.slice(0, end),
        sequence: Number(id.slice(end + 1)),
        expiresAtMs: outcome.expiresAtMs,
        outcome,
      };
    });
  }

  /** Whether `count` used keys can be taken over. */
  hasCapacityFor(count: number): boolean {
    this.#outcomes.removeExpired(this.#time.nowMs());
    return this.#outcomes.hasCapacity(count);
  }

  /** Takes over the keys of another daemon process; `nowMs` is the current time on its clock. */
  adoptHolder(holder: string, nowMs: number): void {
    if (!this.#offsetsMs.has(holder)) {
      this.#offsetsMs.set(holder, nowMs - this.#time.nowMs());
    }
  }

  /** Adds a key that its former holder has used; `settled` is undefined if its outcome will be sent later. */
  adoptOutcome(key: IdempotencyKey, settled: CallResult | undefined): void {
    const id = createKeyId(key.holder, key.sequence);
    const settle = this.#pendingImports.get(id);
    if (settled && settle) {
      settle(settled);
      return;
    }
    if (this.#outcomes.find(id)) {
      return;
    }
    const expiresAtMs = this.#expiresAtMs(key.holder, key.issuedAtMs);
    const result = settled ? Promise.resolve(settled) : this.#waitForImport(id);
    void this.#addOutcome(id, { expiresAtMs, result });
  }

  /** Time at which a key was issued, in milliseconds since the epoch on the clock of its holder. */
  issuedAtMs({ holder, expiresAtMs }: UsedKey): number {
    const offsetMs = this.#offsetsMs.get(holder) ?? 0;
    return Math.max(0, expiresAtMs - KEY_LIFETIME_MS + offsetMs);
  }

  #waitForImport(id: string): Promise<CallResult> {
    return new Promise((resolve) => {
      const cancelTimeout = this.#options.clock.schedule(
        HANDED_OVER_RUN_TIMEOUT_MS,
        () => settle(err(createUnknownOutcome(REASONS.keyHolderGone))),
      );
      const settle = (result: CallResult) => {
        cancelTimeout();
        this.#pendingImports.delete(id);
        resolve(result);
      };
      this.#pendingImports.set(id, settle);
    });
  }

  async #joinDispatch(
    id: string,
    stored: StoredOutcome,
    use: KeyUse,
  ): Promise<CallResult> {
    const isUnknown = stored.settled?.isErr() &&
      stored.settled.error.kind === "unknown";
    const { expiresAtMs, state } = stored;
    const resolution = isUnknown ? use.resolveOutcome(state) : undefined;
    return await (resolution
      ? this.#addOutcome(id, { expiresAtMs, result: resolution, state })
      : stored.result);
  }

  #addOutcome(
    id: string,
    outcome: NewOutcome,
  ): Promise<CallResult> {
    this.#outcomes.add(id, outcome);
    void outcome.result.then((settled) => this.#removeIfRefused(id, settled));
    return outcome.result;
  }

  #removeIfRefused(id: string, settled: CallResult): void {
    const isCurrent = this.#outcomes.find(id)?.settled === settled;
    if (isCurrent && settled.isErr() && settled.error.kind === "refused") {
      this.#outcomes.remove(id);
    }
  }

  #expiresAtMs(holder: string, issuedAtMs: number): number {
    return issuedAtMs - (this.#offsetsMs.get(holder) ?? 0) + KEY_LIFETIME_MS;
  }
}

function createKeyId(holder: string, sequence: number): string {
  return `${holder}#${sequence}`;
}

function createExpiryFailure(attempt: number) {
  return attempt === 1
    ? createRefusal(REASONS.keyExpired)
    : createUnknownOutcome(REASONS.keyExpired);
}
