/**
 * The requests that this daemon has dispatched under keys it issued.
 */

import { err } from "neverthrow";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import { encodeIdempotencyKey } from "./idempotency_key.ts";
import type { IdempotencyKey } from "./idempotency_key.ts";

/** Time for which a key may be used, in milliseconds. */
export const KEY_LIFETIME_MS = 600_000;

/** Dependencies of the ledger. */
export interface KeyLedgerOptions {
  readonly incarnation: string;
  readonly fleetToken: string;
  readonly clock: Clock;
}

interface LedgerEntry {
  readonly issuedAtMs: number;
  readonly result: Promise<CallResult>;
}

/** Issues keys and runs the request of each at most once. */
export class KeyLedger {
  readonly #options: KeyLedgerOptions;
  readonly #entries = new Map<number, LedgerEntry>();
  #nextSequence = 1;

  constructor(options: KeyLedgerOptions) {
    this.#options = options;
  }

  /** Issues a key that names this daemon. */
  issueKey(): string {
    const { incarnation, fleetToken, clock } = this.#options;
    const key = {
      holder: incarnation,
      issuedAtMs: clock.nowMs(),
      sequence: this.#nextSequence,
    };
    this.#nextSequence += 1;
    return encodeIdempotencyKey(key, fleetToken);
  }

  /** Runs the request of a key that this daemon issued, or joins the run that there was. */
  runOnce(
    key: IdempotencyKey,
    run: () => Promise<CallResult>,
  ): Promise<CallResult> {
    this.#forgetExpired();
    if (this.#isExpired(key.issuedAtMs)) {
      return Promise.resolve(err(createRefusal(REASONS.keyExpired)));
    }
    const known = this.#entries.get(key.sequence);
    if (known) {
      return known.result;
    }
    const result = run();
    this.#entries.set(key.sequence, { issuedAtMs: key.issuedAtMs, result });
    void result.then((settled) =>
      this.#allowAfterRefusal(key.sequence, settled)
    );
    return result;
  }

  #allowAfterRefusal(sequence: number, result: CallResult): void {
    if (result.isErr() && result.error.kind === "refused") {
      this.#entries.delete(sequence);
    }
  }

  #isExpired(issuedAtMs: number): boolean {
    return this.#options.clock.nowMs() - issuedAtMs > KEY_LIFETIME_MS;
  }

  #forgetExpired(): void {
    for (const [sequence, entry] of this.#entries) {
      if (!this.#isExpired(entry.issuedAtMs)) {
        return;
      }
      this.#entries.delete(sequence);
    }
  }
}
