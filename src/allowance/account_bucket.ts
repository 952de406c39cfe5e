/**
 * Tokens of one account at a holder.
 *
 * The bucket may go below zero: tokens for requests that wait, and for accounts
 * that ask for more than their rate, are lent a little in advance.
 *
 * A part of the allowance that is too small for a single token lends one with
 * the probability of the fraction that has accrued. Many isolated daemons with
 * a small part each thus grant what their parts add up to, and no more.
 */

import type { RandomSource } from "../time/mod.ts";
import { computePartialLimits } from "./compute_partial_limits.ts";
import type { AccountLimits, PartialLimits } from "./compute_partial_limits.ts";
import type { AccountDemand, Loan } from "./allowance_message.ts";

/** Time after which the demand that a daemon reported no longer counts, in milliseconds. */
const DEMAND_TIMEOUT_MS = 1_000;

/** Time after a refusal for which an account counts as asking for more than it may have, in milliseconds. */
const EXCESS_MS = 1_000;

/** Part of the advance that is not used up by tokens that daemons hold, since tokens on their way back are not known of. */
const RESERVE = 2;

/** Bounds of the time after which a refused daemon asks again, and its part for each asking daemon, in milliseconds. */
const MIN_ASK_AGAIN_MS = 50;
const MAX_ASK_AGAIN_MS = 300;
const ASK_AGAIN_PER_DAEMON_MS = 30;

/** Longest time for which a refused daemon does not ask again, in milliseconds; shares may arrive meanwhile. */
const MAX_PAUSE_MS = 1_000;

/** Time to which refused requests are told to wait while no shares are held, in milliseconds; those of other daemons or the own one count soon. */
const NO_SHARE_RETRY_MS = 1_500;

/** Longest time to which refused requests are told to wait, in milliseconds. */
const MAX_RETRY_MS = 5_000;

interface Demand {
  readonly perSecond: number;
  /** Tokens that the daemon has and may not use. */
  readonly held: number;
  readonly atMs: number;
}

/** What a loan depends on besides the bucket. */
export interface LoanOptions {
  readonly borrower: string;
  readonly nowMs: number;
  readonly random: RandomSource;
}

/** Refills at the holder's part of the rate, up to its part of the burst. */
export class AccountBucket {
  #limits: AccountLimits;
  #fraction: number;
  #part: PartialLimits;
  #tokens: number;
  #updatedAtMs: number;
  /** Refused requests that were told to return and have not been due yet. */
  #backlog = 0;
  readonly #demands = new Map<string, Demand>();
  #refusedAtMs = Number.NEGATIVE_INFINITY;
  /** When a daemon last reported demand, on the monotonic clock. */
  usedAtMs: number;

  constructor(
    limits: AccountLimits,
    { fraction, tokens, nowMs }: {
      readonly fraction: number;
      readonly tokens: number;
      readonly nowMs: number;
    },
  ) {
    this.#limits = limits;
    this.#fraction = fraction;
    this.#part = computePartialLimits(limits, fraction);
    this.#tokens = tokens;
    this.#updatedAtMs = nowMs;
    this.usedAtMs = nowMs;
  }

  /** Rate and burst over all daemons. */
  get limits(): AccountLimits {
    return this.#limits;
  }

  /** Tokens at the last update; negative if some were lent in advance. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Whether nothing is known of the account that a new bucket would not contain. */
  get isFull(): boolean {
    return this.#tokens >= this.#part.capacity * 0.99;
  }

  /** Number of daemons that have lately reported demand. */
  get borrowerCount(): number {
    return this.#demands.size;
  }

  /** Adds the tokens accrued up to a time. */
  refill(nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.#updatedAtMs) / 1_000;
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs);
    const accrued = elapsedS * this.#part.ratePerSecond;
    this.#backlog = Math.max(0, this.#backlog - accrued);
    this.#tokens = Math.min(this.#part.capacity, this.#tokens + accrued);
  }

  /** Changes the part of the allowance held here; `gained` are tokens that a new part brings with it. */
  setFraction(fraction: number, gained = 0): void {
    this.#fraction = fraction;
    this.#setPart(gained);
  }

  /** Follows a changed rate or burst; tokens above the new capacity are dropped. */
  setLimits(limits: AccountLimits): void {
    if (
      limits.ratePerSecond !== this.#limits.ratePerSecond ||
      limits.burst !== this.#limits.burst
    ) {
      this.#limits = limits;
      this.#setPart(0);
    }
  }

  /** Takes back unused tokens and lends new ones. The bucket must have been refilled. */
  lend(demand: AccountDemand, options: LoanOptions): Loan {
    const { nowMs, borrower } = options;
    this.#recordDemand(demand, borrower, nowMs);
    this.#tokens = Math.min(
      this.#part.capacity,
      this.#tokens + demand.returned,
    );
    const count = this.#isFractional
      ? this.#drawToken(demand.needed, options.random)
      : this.#takeTokens(demand, { borrower, nowMs });
    const refused = Math.max(0, demand.needed - count);
    return this.#createLoan(demand.name, count, refused);
  }

  /** Records that requests were refused in the end, not only until further shares arrived. */
  recordRefusal(nowMs: number): void {
    this.#refusedAtMs = nowMs;
  }

  /** Whether the part held here can never contain a whole token. */
  get #isFractional(): boolean {
    return this.#part.capacity + this.#part.advance < 1;
  }

  /** Tokens that may be lent, including those in advance. */
  get #headroom(): number {
    return this.#tokens + this.#part.advance;
  }

  #setPart(gained: number): void {
    this.#part = computePartialLimits(this.#limits, this.#fraction);
    this.#tokens = Math.min(this.#part.capacity, this.#tokens + gained);
  }

  #recordDemand(
    { demandPerSecond, needed, held }: AccountDemand,
    borrower: string,
    nowMs: number,
  ): void {
    if (demandPerSecond > 0 || needed > 0) {
      this.usedAtMs = nowMs;
      this.#demands.set(borrower, {
        ...{ perSecond: demandPerSecond, held, atMs: nowMs },
      });
    }
    for (const [name, { atMs }] of this.#demands) {
      if (nowMs - atMs > DEMAND_TIMEOUT_MS) {
        this.#demands.delete(name);
      }
    }
  }

  #takeTokens(
    { needed, expected }: AccountDemand,
    { borrower, nowMs }: Pick<LoanOptions, "borrower" | "nowMs">,
  ): number {
    const lent = Math.min(needed, Math.max(0, Math.floor(this.#headroom)));
    this.#tokens -= lent;
    if (lent < needed) {
      return lent;
    }
    let total = 0;
    let held = 0;
    for (const demand of this.#demands.values()) {
      total += demand.perSecond;
      held += demand.held;
    }
    const isExcessive = nowMs - this.#refusedAtMs < EXCESS_MS;
    const known = this.#demands.get(borrower);
    const own = known?.perSecond ?? 0;
    // An account within its allowance may move all its requests to another
    // daemon. What other daemons then still hold is lent in advance.
    const stock = isExcessive
      ? this.#headroom
      : Math.min(this.#tokens, this.#part.advance - held - RESERVE);
    const ahead = Math.min(
      expected,
      Math.max(0, Math.floor(total > 0 ? stock * own / total : 0)),
    );
    this.#tokens -= ahead;
    if (known && ahead > 0) {
      this.#demands.set(borrower, { ...known, held: known.held + ahead });
    }
    return lent + ahead;
  }

  /** Number of daemons with equal demand that would be as spread as the actual demand is. */
  #countEqualDaemons(): number {
    let sum = 0;
    let squares = 0;
    for (const { perSecond } of this.#demands.values()) {
      sum += perSecond;
      squares += perSecond * perSecond;
    }
    return squares > 0 ? sum * sum / squares : 0;
  }

  #drawToken(needed: number, random: RandomSource): number {
    const probability = Math.max(0, this.#headroom);
    if (needed === 0 || probability === 0) {
      return 0;
    }
    this.#tokens = -this.#part.advance;
    return random.nextFloat() < probability ? 1 : 0;
  }

  #createLoan(name: string, count: number, refused: number): Loan {
    if (this.#part.ratePerSecond === 0 && refused > 0) {
      const retryInMs = NO_SHARE_RETRY_MS;
      const askAgainMs = MAX_ASK_AGAIN_MS;
      return { name, count, retryInMs, spacingMs: 0, askAgainMs };
    }
    const spacingMs = this.#part.ratePerSecond > 0
      ? 1_000 / this.#part.ratePerSecond
      : 0;
    if (refused === 0) {
      return { name, count, retryInMs: 0, spacingMs, askAgainMs: 0 };
    }
    const missing = Math.max(0, 1 - this.#headroom);
    const retryInMs = Math.min(
      MAX_RETRY_MS,
      (missing + this.#backlog) * spacingMs,
    );
    this.#backlog = Math.min(
      this.#backlog + refused,
      MAX_RETRY_MS / spacingMs,
    );
    const turnMs = Math.min(
      MAX_ASK_AGAIN_MS,
      Math.max(
        MIN_ASK_AGAIN_MS,
        this.#countEqualDaemons() * ASK_AGAIN_PER_DAEMON_MS,
      ),
    );
    const askAgainMs = Math.max(
      turnMs,
      Math.min(MAX_PAUSE_MS, missing * spacingMs),
    );
    return { name, count, retryInMs, spacingMs, askAgainMs };
  }
}
