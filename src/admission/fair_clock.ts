/**
 * Start-time fair queueing among accounts, by the slot time that they use.
 *
 * Each account has a virtual time that advances with its slot time, and the
 * account with the earliest one goes next. An account that was idle restarts at
 * the virtual time of the call that was granted last, so it neither pays for
 * earlier use nor saves up slots. State is bounded: as many accounts as fit are
 * tracked exactly, those with the most calls preferred, and the others share
 * buckets by the hash of their name.
 */

import { hashText } from "../hashing/mod.ts";
import { AccountShare } from "./account_share.ts";

/** Maximum number of accounts that are tracked exactly. */
const MAX_EXACT_ACCOUNTS = 64;

/** Number of buckets for the other accounts. */
const BUCKETS = 64;

/** Shortest time between two searches for accounts with few calls, in milliseconds. */
const PRUNE_INTERVAL_MS = 250;

/** An account that gets a smaller part of its calls granted than this, relative to all accounts, goes next regardless of its use. Entries apply a floor of 0.55, so that no account is served less than a quarter as often as all. */
const MIN_RELATIVE_GRANT_RATIO = 0.6;

/** Virtual times of the accounts of one class. */
export class FairClock {
  readonly #shares = new Map<string, AccountShare>();
  readonly #buckets: (AccountShare | undefined)[] = [];
  readonly #total: AccountShare;
  #virtualMs = 0;
  #nextPruneAtMs = 0;

  constructor(nowMs: number) {
    this.#total = new AccountShare(nowMs);
  }

  /** Number of shares in memory, at most 128. */
  get size(): number {
    return this.#shares.size + this.#buckets.filter(Boolean).length;
  }

  /** Opens a call of an account; {@link close} must be called when it ends. */
  open(account: string, nowMs: number): AccountShare {
    const share = this.#findOrCreate(account, nowMs);
    share.openCalls += 1;
    share.recordArrival(nowMs);
    this.#total.recordArrival(nowMs);
    return share;
  }

  /**
   * Closes a call that ended or got no slot.
   *
   * @param share - The share that {@link open} returned
   * @param correctionMs - Slot time that the call used beyond the expected one
   */
  close(share: AccountShare, correctionMs = 0): void {
    share.openCalls -= 1;
    share.usedUntilMs += correctionMs;
  }

  /** Computes the virtual time at which the next call of an account starts. */
  computeStartMs(share: AccountShare): number {
    const isBelowFloor = share.grantRatio <
      this.#total.grantRatio * MIN_RELATIVE_GRANT_RATIO;
    return isBelowFloor
      ? this.#virtualMs
      : Math.max(this.#virtualMs, share.usedUntilMs);
  }

  /** Charges the expected slot time of a call that starts. */
  charge(share: AccountShare, { nowMs, holdMs }: ChargeOptions): void {
    const startMs = this.computeStartMs(share);
    this.#virtualMs = Math.max(this.#virtualMs, startMs);
    share.usedUntilMs = startMs + holdMs;
    share.recordGrant(nowMs);
    this.#total.recordGrant(nowMs);
  }

  #findOrCreate(account: string, nowMs: number): AccountShare {
    const known = this.#shares.get(account);
    if (known) {
      return known;
    }
    if (this.#shares.size >= MAX_EXACT_ACCOUNTS) {
      this.#prune(nowMs);
    }
    if (this.#shares.size >= MAX_EXACT_ACCOUNTS) {
      return this.#buckets[hashText(account) % BUCKETS] ??= new AccountShare(
        nowMs,
      );
    }
    const share = new AccountShare(nowMs);
    this.#shares.set(account, share);
    return share;
  }

  /** Moves accounts without open calls and with no more than the mean of the calls to the buckets. */
  #prune(nowMs: number): void {
    if (nowMs < this.#nextPruneAtMs) {
      return;
    }
    this.#nextPruneAtMs = nowMs + PRUNE_INTERVAL_MS;
    const shares = [...this.#shares];
    // Compared at one time; otherwise a past burst would keep its place.
    const mean =
      shares.reduce((sum, [, share]) => sum + share.readArrivals(nowMs), 0) /
      shares.length;
    for (const [account, share] of shares) {
      if (share.openCalls === 0 && share.readArrivals(nowMs) <= mean) {
        this.#shares.delete(account);
        const bucket = this.#buckets[hashText(account) % BUCKETS] ??=
          new AccountShare(nowMs);
        bucket.usedUntilMs = Math.max(bucket.usedUntilMs, share.usedUntilMs);
      }
    }
  }
}

/** Time and expected duration of a call that starts. */
export interface ChargeOptions {
  readonly nowMs: number;
  readonly holdMs: number;
}
