/**
 * The requests dispatched under the keys that this daemon holds: those it
 * issued and those it took over from daemons that stopped.
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

/** Time for which a key may be used, in milliseconds. */
export const KEY_LIFETIME_MS = 600_000;

/** Wait suggested when no more keys can be remembered, in milliseconds. */
const FULL_RETRY_AFTER_MS = 1_000;

/** Wait for the outcome of a dispatch that a former holder had in progress, in milliseconds. */
const HANDED_RUN_WAIT_MS = 60_000;

const DEFAULT_BOUNDS: OutcomeTableOptions = {
  maxEntries: 40_000,
  maxAnswerBytes: 8_388_608,
};

/** Dependencies of the ledger. */
export interface KeyLedgerOptions {
  readonly incarnation: string;
  readonly fleetToken: string;
  readonly clock: Clock;
  readonly bounds?: OutcomeTableOptions;
}

/** One use of a key. */
export interface KeyUse {
  /** Attempt number that the caller stated; 0 if none. */
  readonly attempt: number;
  /** Dispatches the request. */
  readonly dispatch: (guard: DispatchState) => Promise<CallResult>;
  /** Asks again what became of a dispatch whose outcome is unknown; undefined when nothing can be asked. */
  readonly resolveOutcome: (
    guard: DispatchState,
  ) => Promise<CallResult> | undefined;
}

/** A key that has been used, with what is known of its outcome. */
export interface UsedKey {
  readonly holder: string;
  readonly sequence: number;
  readonly expiresAtMs: number;
  readonly outcome: StoredOutcome;
}

/** Issues keys and dispatches the request of each at most once. */
export class KeyLedger {
  readonly #options: KeyLedgerOptions;
  readonly #time: MonotonicWallClock;
  readonly #outcomes: OutcomeTable;
  /** For each holder, what to add to the own time to get the time that stamps its keys. */
  readonly #offsetsMs = new Map<string, number>();
  /** Settles the outcomes that a former holder will still send. */
  readonly #awaited = new Map<string, (result: CallResult) => void>();
  #nextSequence = 1;
  #nextRunNumber = 1;

  constructor(options: KeyLedgerOptions) {
    this.#options = options;
    this.#time = new MonotonicWallClock(options.clock);
    this.#outcomes = new OutcomeTable(options.bounds ?? DEFAULT_BOUNDS);
    this.#offsetsMs.set(options.incarnation, 0);
  }

  /** Daemon processes whose keys are held here, with the time on the clock of each. */
  get holders(): { holder: string; nowMs: number }[] {
    return [...this.#offsetsMs].map(([holder, offsetMs]) => ({
      holder,
      nowMs: this.#time.nowMs() + offsetMs,
    }));
  }

  /** Number of used keys that are remembered. */
  get size(): number {
    return this.#outcomes.size;
  }

  /** Whether keys of this daemon process are held here. */
  holds(holder: string): boolean {
    return this.#offsetsMs.has(holder);
  }

  /** Issues a key that names this daemon. */
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

  /** Gives a number that no other attempt of this daemon has. */
  allocateRunNumber(): number {
    const runNumber = this.#nextRunNumber;
    this.#nextRunNumber += 1;
    return runNumber;
  }

  /** Dispatches the request of a key that is held here, or joins the dispatch that there was. */
  runOnce(key: IdempotencyKey, use: KeyUse): Promise<CallResult> {
    this.#outcomes.removeExpired(this.#time.nowMs());
    const name = nameKey(key.holder, key.sequence);
    const known = this.#outcomes.find(name);
    if (known) {
      return this.#join(name, known, use);
    }
    const expiresAtMs = this.#expiresAtMs(key.holder, key.issuedAtMs);
    if (expiresAtMs < this.#time.nowMs()) {
      return Promise.resolve(err(describeExpiry(use.attempt)));
    }
    if (!this.#outcomes.hasCapacity()) {
      const retryAfterMs = FULL_RETRY_AFTER_MS;
      return Promise.resolve(
        err(createRefusal(REASONS.keyLedgerFull, { retryAfterMs })),
      );
    }
    const guard: DispatchState = { unresolvedRun: undefined };
    const result = Promise.resolve().then(() => use.dispatch(guard));
    return this.#remember(name, { expiresAtMs, result, guard });
  }

  /** Lists the used keys that are remembered. */
  listUsedKeys(): UsedKey[] {
    return this.#outcomes.list().map(([name, outcome]) => {
      const end = name.lastIndexOf("#");
      return {
        holder: name.slice(0, end),
        sequence: Number(name.slice(end + 1)),
        expiresAtMs: outcome.expiresAtMs,
        outcome,
      };
    });
  }

  /** Whether so many used keys can be taken over. */
  hasCapacityFor(count: number): boolean {
    this.#outcomes.removeExpired(this.#time.nowMs());
    return this.#outcomes.hasCapacity(count);
  }

  /** Holds the keys of another daemon process from now on; `nowMs` is the time on its clock. */
  adoptHolder(holder: string, nowMs: number): void {
    if (!this.#offsetsMs.has(holder)) {
      this.#offsetsMs.set(holder, nowMs - this.#time.nowMs());
    }
  }

  /** Remembers a key that its former holder has used; the outcome may come later. */
  adoptOutcome(key: IdempotencyKey, settled: CallResult | undefined): void {
    const name = nameKey(key.holder, key.sequence);
    const settle = this.#awaited.get(name);
    if (settled && settle) {
      settle(settled);
      return;
    }
    if (this.#outcomes.find(name)) {
      return;
    }
    const expiresAtMs = this.#expiresAtMs(key.holder, key.issuedAtMs);
    const result = settled ? Promise.resolve(settled) : this.#await(name);
    void this.#remember(name, { expiresAtMs, result });
  }

  /** Time at which a key was issued, on its holder's clock. */
  issuedAtMs({ holder, expiresAtMs }: UsedKey): number {
    const offsetMs = this.#offsetsMs.get(holder) ?? 0;
    return Math.max(0, expiresAtMs - KEY_LIFETIME_MS + offsetMs);
  }

  #await(name: string): Promise<CallResult> {
    return new Promise((resolve) => {
      const cancelWait = this.#options.clock.schedule(
        HANDED_RUN_WAIT_MS,
        () => settle(err(createUnknownOutcome(REASONS.keyHolderGone))),
      );
      const settle = (result: CallResult) => {
        cancelWait();
        this.#awaited.delete(name);
        resolve(result);
      };
      this.#awaited.set(name, settle);
    });
  }

  async #join(
    name: string,
    known: StoredOutcome,
    use: KeyUse,
  ): Promise<CallResult> {
    const isUnknown = known.settled?.isErr() &&
      known.settled.error.kind === "unknown";
    const { expiresAtMs, guard } = known;
    const settling = isUnknown ? use.resolveOutcome(guard) : undefined;
    return await (settling
      ? this.#remember(name, { expiresAtMs, result: settling, guard })
      : known.result);
  }

  #remember(
    name: string,
    outcome: NewOutcome,
  ): Promise<CallResult> {
    this.#outcomes.add(name, outcome);
    void outcome.result.then((settled) =>
      this.#releaseAfterRefusal(name, settled)
    );
    return outcome.result;
  }

  #releaseAfterRefusal(name: string, settled: CallResult): void {
    const isCurrent = this.#outcomes.find(name)?.settled === settled;
    if (isCurrent && settled.isErr() && settled.error.kind === "refused") {
      this.#outcomes.remove(name);
    }
  }

  #expiresAtMs(holder: string, issuedAtMs: number): number {
    return issuedAtMs - (this.#offsetsMs.get(holder) ?? 0) + KEY_LIFETIME_MS;
  }
}

function nameKey(holder: string, sequence: number): string {
  return `${holder}#${sequence}`;
}

function describeExpiry(attempt: number) {
  return attempt === 1
    ? createRefusal(REASONS.keyExpired)
    : createUnknownOutcome(REASONS.keyExpired);
}
