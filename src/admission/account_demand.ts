/**
 * Recent demand of client accounts for one kind of request at one entry, and the
 * admit ratio of each account.
 *
 * An entry sees only a few requests of each account, so the demand is counted
 * over a longer time than the throttle's. State is bounded: the accounts with the
 * highest demand are counted exactly, and the others together.
 */

import type { Clock } from "../time/mod.ts";
import { AdaptiveThrottle } from "./adaptive_throttle.ts";
import { computeFairLevel } from "./compute_fair_level.ts";

/** Time constant of the exponential decay of the demand, in milliseconds. */
const TIME_CONSTANT_MS = 8_000;

/** Maximum number of accounts that are counted exactly. */
const MAX_EXACT_ACCOUNTS = 64;

/** Time for which a computed level is used, in milliseconds. */
const LEVEL_INTERVAL_MS = 100;

/** Lower bound of the admit ratio of an account, relative to the served share of all requests; it is not taken from the others' level. Gates apply a floor of 0.6, so that no account is served less than a quarter as often as all. */
const MIN_RELATIVE_RATIO = 0.55;

/** Headroom of an account above the fair level, over what it was lately served. */
const ACCOUNT_HEADROOM = 1.25;

/** Served share of all requests from which no account is compared with the others. */
const HEALTHY_SERVED_RATIO = 0.9;

/** Served share, relative to that of all accounts, below which an account counts as served less. */
const SERVED_LESS_RATIO = 0.8;

/** Demand below which an account is taken to have none, in requests. */
const MIN_DEMAND = 1e-6;

interface Demand {
  requests: number;
  updatedAtMs: number;
}

interface ExactDemand extends Demand {
  readonly throttle: AdaptiveThrottle;
}

/** Requests by account, with exponential decay. */
export class AccountDemand {
  readonly #clock: Clock;
  readonly #demands = new Map<string, ExactDemand>();
  #others: Demand;
  /** Highest demand that an account had when it was last counted with the others. */
  #maxOther = 0;
  #level = { value: 0, mean: 0, weight: 0, computedAtMs: 0 };

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#others = { requests: 0, updatedAtMs: clock.monotonicMs() };
  }

  /** Number of accounts that are counted exactly. */
  get size(): number {
    return this.#demands.size;
  }

  /** Whether there are several accounts to divide what is admitted among. */
  get isShared(): boolean {
    return this.#demands.size > 1 || this.#others.requests > 0;
  }

  /** Records an arriving request, whether it is admitted or not. */
  recordRequest(account: string): void {
    const nowMs = this.#clock.monotonicMs();
    const demand = this.#findOrCreate(account, nowMs);
    demand.requests = read(demand, nowMs) + 1;
    demand.updatedAtMs = nowMs;
    demand.throttle.recordRequest();
  }

  /** Records that a request was admitted. */
  recordStart(account: string): void {
    this.#demands.get(account)?.throttle.recordStart();
  }

  /** Records the end of an admitted request. */
  recordEnd(account: string, isServed: boolean): void {
    this.#demands.get(account)?.throttle.recordEnd(isServed);
  }

  /** Discards an admitted request that reached no instance. */
  discardRequest(account: string): void {
    const demand = this.#demands.get(account);
    if (demand) {
      demand.requests = Math.max(0, demand.requests - 1);
      demand.throttle.discardRequest();
    }
  }

  /**
   * Computes the admit ratio of an account by max-min fairness: accounts below
   * the fair level are admitted whole, and the others are cut to it. An account
   * that gates serve less often than the others is cut to slightly more than it
   * was lately served, also while all accounts together need no cut, and one
   * whose admitted requests are all served is admitted more, unless a service
   * has asked for the ratio.
   *
   * @param account - Name of the account
   * @param kind - Admit ratio of all accounts together, and the share of their requests that is served
   * @returns The admit ratio of the account
   */
  computeRatio(
    account: string,
    { ratio, servedRatio, isSignaled = false }: KindRatios,
  ): number {
    const floor = Math.min(ratio, servedRatio * MIN_RELATIVE_RATIO);
    const known = this.#demands.get(account);
    let fairRatio = 1;
    if (ratio < 1) {
      const nowMs = this.#clock.monotonicMs();
      this.#updateLevel(nowMs, { ratio, servedRatio });
      const { value, mean, weight } = this.#level;
      const requests = known ? read(known, nowMs) : this.#maxOther;
      const demand = mean + (requests - mean) * weight;
      fairRatio = value / Math.max(MIN_DEMAND, demand);
      if (fairRatio >= 1) {
        return 1;
      }
    }
    if (!isSignaled && known?.throttle.isHealthy) {
      return Math.max(
        fairRatio,
        known.throttle.computeArrivalAdmitRatio(ACCOUNT_HEADROOM),
      );
    }
    const servedLimit = known ? limitByService(known, servedRatio) : 1;
    return Math.max(floor, Math.min(fairRatio, servedLimit));
  }

  #updateLevel(nowMs: number, { ratio, servedRatio }: KindRatios): void {
    const { computedAtMs, value } = this.#level;
    if (value > 0 && nowMs - computedAtMs < LEVEL_INTERVAL_MS) {
      return;
    }
    const exact = [...this.#demands.values()];
    const demands = exact.map((each) => read(each, nowMs));
    const { mean, weight } = estimateSpread(demands);
    const others = {
      requests: read(this.#others, nowMs),
      demand: this.#maxOther,
    };
    const total = demands.reduce((sum, each) => sum + each, others.requests);
    const limited = exact.map((each, index) =>
      (mean + ((demands[index] ?? 0) - mean) * weight) *
      limitByService(each, servedRatio)
    );
    this.#level = {
      ...{ mean, weight, computedAtMs: nowMs },
      value: computeFairLevel(limited, { budget: ratio * total, others }),
    };
  }

  #findOrCreate(account: string, nowMs: number): ExactDemand {
    const known = this.#demands.get(account);
    if (known) {
      return known;
    }
    if (this.#demands.size >= MAX_EXACT_ACCOUNTS) {
      this.#prune(nowMs);
    }
    const throttle = new AdaptiveThrottle(this.#clock);
    const created = { requests: 0, updatedAtMs: nowMs, throttle };
    this.#demands.set(account, created);
    return created;
  }

  /** Counts the lower half of the accounts with the others. */
  #prune(nowMs: number): void {
    const sorted = [...this.#demands].map(([account, demand]) => ({
      account,
      requests: read(demand, nowMs),
    })).sort((one, other) => one.requests - other.requests);
    const pruned = sorted.slice(0, MAX_EXACT_ACCOUNTS / 2);
    this.#others = {
      updatedAtMs: nowMs,
      requests: read(this.#others, nowMs) +
        pruned.reduce((sum, { requests }) => sum + requests, 0),
    };
    this.#maxOther = pruned.at(-1)?.requests ?? 0;
    pruned.forEach(({ account }) => this.#demands.delete(account));
  }
}

/** Ratios of all accounts together. */
export interface KindRatios {
  /** Admit ratio. */
  readonly ratio: number;
  /** Share of the arriving requests that is served. */
  readonly servedRatio: number;
  /** Whether a service asks for the admit ratio, so that it is known and not estimated from outcomes. */
  readonly isSignaled?: boolean;
}

function read({ requests, updatedAtMs }: Demand, nowMs: number): number {
  return requests * Math.exp((updatedAtMs - nowMs) / TIME_CONSTANT_MS);
}

/** Limits an account that gates serve less often than the others to slightly more than it was lately served. */
function limitByService(
  { throttle }: ExactDemand,
  servedRatio: number,
): number {
  const isServedLess = servedRatio < HEALTHY_SERVED_RATIO &&
    throttle.estimateServedRatio() < servedRatio * SERVED_LESS_RATIO;
  return isServedLess ? throttle.computeArrivalAdmitRatio(ACCOUNT_HEADROOM) : 1;
}

/**
 * Estimates how much of the spread of counts is more than the noise of random
 * arrivals, whose variance is the mean. Counts are moved towards the mean by the
 * rest, so that equal accounts are not cut for a request more than the others.
 */
function estimateSpread(
  demands: readonly number[],
): { readonly mean: number; readonly weight: number } {
  const count = Math.max(1, demands.length);
  const mean = demands.reduce((sum, each) => sum + each, 0) / count;
  const variance = demands.reduce((sum, each) => sum + (each - mean) ** 2, 0) /
    count;
  const weight = variance > mean ? (variance - mean) / variance : 0;
  return { mean, weight };
}
