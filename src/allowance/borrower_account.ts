/**
 * The borrower's side of one account: its tokens, its demand, the requests that
 * wait for a token and what refused requests are told.
 */

import type { RandomSource } from "../time/mod.ts";
import type { AccountDemand, Loan } from "./allowance_message.ts";
import { BorrowedTokens } from "./borrowed_tokens.ts";
import type { TakenToken } from "./borrowed_tokens.ts";
import { chooseGroup } from "./choose_group.ts";
import type { AccountLimits } from "./compute_partial_limits.ts";
import { RateEstimator } from "./rate_estimator.ts";

/** Time for which the likely demand is borrowed ahead, in seconds. */
const EXPECTED_S = 0.3;

/** Demand below which an account is not reported, in requests per second. */
const MIN_DEMAND = 0.1;

/** Time after a refusal for which an account counts as used up, in milliseconds. */
const USED_UP_MS = 1_000;

/** Interval of asking up to which an account's requests are passed on at once; with a longer one, many daemons ask for it. */
const MAX_PROMPT_INTERVAL_MS = 100;

/** Time without requests after which an account is forgotten, in milliseconds. */
const IDLE_ACCOUNT_MS = 5_000;

/** Longest time to which a refused request is told to wait, in milliseconds. */
const MAX_RETRY_MS = 5_000;

/** Part of that time over which requests are spread that would have to wait longer. */
const RETRY_SPREAD_RATIO = 0.5;

/** A request that waits for a token; called with undefined if there is none. */
export type WaitingRequest = (token: TakenToken | undefined) => void;

/** State of one account with recent requests at this daemon. */
export class BorrowerAccount {
  readonly name: string;
  readonly group: number;
  readonly tokens = new BorrowedTokens();
  readonly waiting = new Set<WaitingRequest>();
  granted = 0;
  refused = 0;
  #limits: AccountLimits;
  readonly #demand = new RateEstimator();
  #requestedAtMs = 0;
  /** Whether there were requests since the last message; without any, demand has moved elsewhere, and nothing is borrowed ahead. */
  #hasNewRequests = false;
  #refusedAtMs = Number.NEGATIVE_INFINITY;
  #deniedUntilMs = Number.NEGATIVE_INFINITY;
  #askAgainMs = 0;
  /** When the account has a token for the next refused request. */
  #retryAtMs = 0;
  #spacingMs = 0;

  constructor(name: string, limits: AccountLimits) {
    this.name = name;
    this.group = chooseGroup(name);
    this.#limits = limits;
  }

  /** Rate and burst over all daemons. */
  get limits(): AccountLimits {
    return this.#limits;
  }

  /** Counts a request, and drops the tokens in hand if a limit has been lowered. */
  recordRequest(limits: AccountLimits, nowMs: number): void {
    if (
      limits.ratePerSecond < this.#limits.ratePerSecond ||
      limits.burst < this.#limits.burst
    ) {
      this.tokens.drop();
    }
    this.#limits = limits;
    this.#requestedAtMs = nowMs;
    this.#hasNewRequests = true;
    this.#demand.record(nowMs);
  }

  /** Whether a holder has denied tokens so recently that it is not asked again yet. */
  isDenied(nowMs: number): boolean {
    return nowMs < this.#deniedUntilMs;
  }

  /** Whether a request has lately been refused here. */
  isUsedUp(nowMs: number): boolean {
    return nowMs - this.#refusedAtMs < USED_UP_MS;
  }

  /** Whether the holder is to be asked at once; otherwise with the next message, since many daemons ask for more than there is. */
  isPrompt(nowMs: number): boolean {
    return this.#askAgainMs <= MAX_PROMPT_INTERVAL_MS || !this.isUsedUp(nowMs);
  }

  /** Whether nothing has to be kept of the account. */
  isIdle(nowMs: number): boolean {
    return this.waiting.size === 0 &&
      nowMs - this.#requestedAtMs > IDLE_ACCOUNT_MS;
  }

  /** Describes the demand for a holder, and takes the tokens that are returned to it; undefined if there is nothing to tell. */
  describeDemand(holder: string, nowMs: number): AccountDemand | undefined {
    const demandPerSecond = this.#demand.perSecond(nowMs);
    const returned = this.tokens.takeUnused(holder, nowMs);
    const needed = this.waiting.size;
    const likely = this.#hasNewRequests
      ? Math.floor(demandPerSecond * EXPECTED_S)
      : 0;
    this.#hasNewRequests = false;
    const held = this.tokens.count(nowMs);
    const expected = Math.max(0, likely - needed - held);
    return needed === 0 && returned === 0 && demandPerSecond < MIN_DEMAND
      ? undefined
      : {
        name: this.name,
        ...this.#limits,
        ...{ needed, expected, held, returned },
        demandPerSecond: Math.round(demandPerSecond * 100) / 100,
      };
  }

  /** Uses a loan: serves the waiting requests, and refuses the others if the holder has no more tokens. */
  receive(loan: Loan, token: TakenToken, nowMs: number): void {
    this.tokens.add(loan.count, token);
    this.#spacingMs = loan.spacingMs;
    for (const request of this.waiting) {
      const taken = this.tokens.take(nowMs);
      if (!taken) {
        break;
      }
      this.waiting.delete(request);
      request(taken);
    }
    if (loan.retryInMs > 0 || loan.askAgainMs > 0) {
      this.#askAgainMs = loan.askAgainMs;
      this.#deniedUntilMs = nowMs + loan.askAgainMs;
      this.#retryAtMs = nowMs + loan.retryInMs;
      this.refuseWaiting();
    }
  }

  /** Refuses all requests that wait. */
  refuseWaiting(): void {
    const waiting = [...this.waiting];
    this.waiting.clear();
    waiting.forEach((request) => request(undefined));
  }

  /** Records a refusal; returns the time after which the request may be made again, in milliseconds. */
  refuse(nowMs: number, random: RandomSource): number {
    this.#refusedAtMs = nowMs;
    this.refused += 1;
    this.#retryAtMs = Math.max(nowMs, this.#retryAtMs) + this.#spacingMs;
    const retryAfterMs = this.#retryAtMs - nowMs;
    if (retryAfterMs <= MAX_RETRY_MS) {
      return Math.ceil(retryAfterMs);
    }
    this.#retryAtMs = nowMs + MAX_RETRY_MS;
    const spread = RETRY_SPREAD_RATIO * random.nextFloat();
    return Math.ceil(MAX_RETRY_MS * (1 - spread));
  }
}
