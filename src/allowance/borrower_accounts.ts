/**
 * The accounts that had requests at this daemon lately.
 */

import type { AllowanceStatus } from "./allowance_status.ts";
import { BorrowerAccount } from "./borrower_account.ts";
import type { AccountLimits } from "./compute_partial_limits.ts";

/** Maximum number of accounts that are tracked; requests of others are refused. */
const MAX_ACCOUNTS = 20_000;

/** Number of accounts in the status. */
const MAX_LISTED_ACCOUNTS = 50;

/** Accounts by name. */
export class BorrowerAccounts {
  readonly #accounts = new Map<string, BorrowerAccount>();

  /** Number of accounts. */
  get size(): number {
    return this.#accounts.size;
  }

  /** Returns an account; undefined if it had no requests lately. */
  get(name: string): BorrowerAccount | undefined {
    return this.#accounts.get(name);
  }

  /** Returns an account, and tracks it from now on; undefined if too many are tracked. */
  open(name: string, limits: AccountLimits): BorrowerAccount | undefined {
    const known = this.#accounts.get(name);
    if (known || this.#accounts.size >= MAX_ACCOUNTS) {
      return known;
    }
    const entry = new BorrowerAccount(name, limits);
    this.#accounts.set(name, entry);
    return entry;
  }

  /** Iterates over all accounts. */
  values(): IterableIterator<BorrowerAccount> {
    return this.#accounts.values();
  }

  /** Forgets the accounts without recent requests. */
  forgetIdle(nowMs: number): void {
    for (const [name, entry] of this.#accounts) {
      if (entry.isIdle(nowMs)) {
        this.#accounts.delete(name);
      }
    }
  }

  /** Refuses all requests that wait. */
  refuseWaiting(): void {
    this.#accounts.forEach((entry) => entry.refuseWaiting());
  }

  /** Describes the accounts with the most requests. */
  describe(nowMs: number): AllowanceStatus["accounts"] {
    return [...this.#accounts.values()]
      .sort((one, other) =>
        other.granted + other.refused - one.granted - one.refused
      )
      .slice(0, MAX_LISTED_ACCOUNTS)
      .map((entry) => ({
        name: entry.name,
        granted: entry.granted,
        refused: entry.refused,
        isUsedUp: entry.isUsedUp(nowMs),
      }));
  }
}
