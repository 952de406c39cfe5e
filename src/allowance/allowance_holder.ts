/**
 * The holder's side of allowances: shares delegated by the daemons, one bucket
 * for each account with recent demand, and the tokens lent from it.
 *
 * A daemon whose share nobody else holds is its own holder, with that share
 * alone.
 */

import type { Clock, RandomSource } from "../time/mod.ts";
import { AccountBucket } from "./account_bucket.ts";
import type {
  AccountDemand,
  AllowanceMessage,
  AllowanceReply,
  Loan,
} from "./allowance_message.ts";
import type { HeldGroup } from "./allowance_status.ts";
import { chooseGroup, GROUP_COUNT } from "./choose_group.ts";
import { computePartialLimits } from "./compute_partial_limits.ts";
import type { AccountLimits } from "./compute_partial_limits.ts";
import { HolderGroup } from "./holder_group.ts";
import { SenderSequences } from "./sender_sequences.ts";

/** Time after the last demand for which shares of a group are still asked for, in milliseconds. */
const DEMAND_RETENTION_MS = 3_000;

/** Longest wait for the shares of other daemons when demand begins, in milliseconds. */
const GATHER_MS = 150;

/** Part of the allowance from which on a holder does not wait for more. */
const ENOUGH_FRACTION = 0.95;

/** Time without demand after which a full bucket is forgotten, in milliseconds. */
const IDLE_BUCKET_MS = 10_000;

/** Interval at which forgotten buckets are looked for, in milliseconds. */
const CLEANUP_INTERVAL_MS = 5_000;

/** Maximum number of buckets, about 10 MB. */
const MAX_BUCKETS = 100_000;

/** Dependencies of a holder. */
export interface AllowanceHolderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Returns an account's limits in the active configuration; undefined if it names none. */
  readonly readLimits: (name: string) => AccountLimits | undefined;
  /** Called when demand for a group begins, to ask the other daemons for their shares. */
  readonly gather: (group: number) => void;
}

/** Lends tokens of the accounts whose shares are held here. */
export class AllowanceHolder {
  readonly #options: AllowanceHolderOptions;
  readonly #groups: readonly HolderGroup[];
  readonly #sequences = new SenderSequences();
  #waiting: (() => void)[] = [];
  #bucketCount = 0;
  /** Buckets that were forgotten although they were not full had been used until then. */
  #forgottenAtMs = Number.NEGATIVE_INFINITY;
  #cleanupAtMs = 0;

  constructor(options: AllowanceHolderOptions) {
    this.#options = options;
    this.#groups = Array.from(
      { length: GROUP_COUNT },
      () => new HolderGroup(),
    );
  }

  /**
   * Takes the shares of a message and lends tokens for its demands. Waits for a
   * moment if the shares that are needed have just been asked for.
   *
   * `remainingMs` is the time for which the sender's shares are still delegated.
   */
  async receive(
    message: AllowanceMessage,
    remainingMs: number,
  ): Promise<AllowanceReply> {
    const { sender, sequence, shares, demands } = message;
    if (!this.#sequences.record(sender, sequence)) {
      return { wantedGroups: [], loans: [] };
    }
    shares.forEach((share) => {
      const nowMs = this.#options.clock.monotonicMs();
      const group = this.#groups[share.group];
      if (group?.addShare(sender, share, { nowMs, remainingMs })) {
        this.#wake();
      }
    });
    demands.forEach((demand) => this.#recordUse(demand));
    let loans = demands.map((demand) => this.#lend(sender, demand));
    while (this.#mustWait(demands, loans)) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
      loans = demands.map((demand, index) =>
        this.#lendMissing(sender, demand, loans[index])
      );
    }
    demands.forEach((demand, index) => {
      if ((loans[index]?.count ?? 0) < demand.needed) {
        this.#getBucket(demand).recordRefusal(
          this.#options.clock.monotonicMs(),
        );
      }
    });
    return { wantedGroups: this.#listWantedGroups(), loans };
  }

  /** Takes a daemon's share away at once, which only the daemon itself can do for its own. */
  revoke(owner: string, groupIndex: number): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#groups[groupIndex]?.revoke(owner, nowMs);
  }

  /** Whether a daemon's share of a group is held here. */
  hasShare(owner: string, groupIndex: number): boolean {
    const group = this.#groups[groupIndex];
    if (!group) {
      return false;
    }
    group.settle(this.#options.clock.monotonicMs());
    return group.shares.has(owner);
  }

  /** Whether there has lately been demand for a group here. */
  isWanted(groupIndex: number): boolean {
    const usedAtMs = this.#groups[groupIndex]?.usedAtMs ?? 0;
    return this.#options.clock.monotonicMs() - usedAtMs < DEMAND_RETENTION_MS;
  }

  /** Part of the allowances of a group that is held here. */
  getFraction(groupIndex: number): number {
    const group = this.#groups[groupIndex];
    if (!group) {
      return 0;
    }
    group.settle(this.#options.clock.monotonicMs());
    return group.shares.fraction;
  }

  /** Ends waits that are over, and forgets buckets without demand. Called several times a second while there is demand. */
  maintain(): void {
    this.#wake();
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs < this.#cleanupAtMs) {
      return;
    }
    this.#cleanupAtMs = nowMs + CLEANUP_INTERVAL_MS;
    for (const group of this.#groups) {
      group.settle(this.#options.clock.monotonicMs());
      for (const [name, bucket] of group.buckets) {
        bucket.refill(nowMs);
        if (nowMs - bucket.usedAtMs > IDLE_BUCKET_MS && bucket.isFull) {
          group.buckets.delete(name);
          this.#bucketCount -= 1;
        }
      }
    }
  }

  /** Describes the groups of which shares are held here. */
  describe(): HeldGroup[] {
    return this.#groups.map((group, index) => {
      group.settle(this.#options.clock.monotonicMs());
      return { group: index, ...group.describe() };
    }).filter(({ shares }) => shares > 0);
  }

  #recordUse({ name, needed, demandPerSecond }: AccountDemand): void {
    const groupIndex = chooseGroup(name);
    const group = this.#groups[groupIndex];
    if (!group || (needed === 0 && demandPerSecond === 0)) {
      return;
    }
    const nowMs = this.#options.clock.monotonicMs();
    const hasBegun = nowMs - group.usedAtMs >= DEMAND_RETENTION_MS;
    group.usedAtMs = nowMs;
    if (hasBegun) {
      group.gatherUntilMs = nowMs + GATHER_MS;
      this.#options.clock.schedule(GATHER_MS, () => this.#wake());
      this.#options.gather(groupIndex);
    }
  }

  #lend(borrower: string, demand: AccountDemand): Loan {
    const { clock, random } = this.#options;
    const nowMs = clock.monotonicMs();
    const bucket = this.#getBucket(demand);
    bucket.refill(nowMs);
    return bucket.lend(demand, { borrower, nowMs, random });
  }

  /** Lends the tokens that were missing before. */
  #lendMissing(
    borrower: string,
    demand: AccountDemand,
    loan: Loan | undefined,
  ): Loan {
    if (loan?.retryInMs === 0) {
      return loan;
    }
    const lent = loan?.count ?? 0;
    const needed = demand.needed - lent;
    const added = this.#lend(borrower, { ...demand, needed, returned: 0 });
    return { ...added, count: lent + added.count };
  }

  #mustWait(
    demands: readonly AccountDemand[],
    loans: readonly Loan[],
  ): boolean {
    const nowMs = this.#options.clock.monotonicMs();
    return demands.some(({ name, needed }, index) => {
      const group = this.#groups[chooseGroup(name)];
      return group !== undefined && nowMs < group.gatherUntilMs &&
        group.shares.fraction < ENOUGH_FRACTION &&
        (loans[index]?.count ?? 0) < needed;
    });
  }

  #getBucket(demand: AccountDemand): AccountBucket {
    const { name, ratePerSecond, burst } = demand;
    const limits = this.#options.readLimits(name) ?? { ratePerSecond, burst };
    const group = this.#groups[chooseGroup(name)];
    if (!group) {
      throw new Error(`no group for account ${name}`);
    }
    group.settle(this.#options.clock.monotonicMs());
    const known = group.buckets.get(name);
    if (known) {
      known.setLimits(limits);
      return known;
    }
    const { clock } = this.#options;
    const nowMs = clock.monotonicMs();
    const { shares, buckets } = group;
    const whole = computePartialLimits(limits, 1);
    const sinceMs = this.#forgottenAtMs;
    const bucket = new AccountBucket(limits, {
      fraction: shares.fraction,
      tokens: shares.sumTokens(whole, { nowMs, sinceMs }),
      nowMs,
    });
    this.#forgetOldestBucket(buckets, nowMs);
    buckets.set(name, bucket);
    this.#bucketCount += 1;
    return bucket;
  }

  #forgetOldestBucket(
    buckets: Map<string, AccountBucket>,
    nowMs: number,
  ): void {
    const [oldest] = buckets.keys();
    if (this.#bucketCount >= MAX_BUCKETS && oldest !== undefined) {
      buckets.delete(oldest);
      this.#bucketCount -= 1;
      this.#forgottenAtMs = nowMs;
    }
  }

  #wake(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((resolve) => resolve());
  }

  #listWantedGroups(): number[] {
    return this.#groups.map((_, index) => index)
      .filter((index) => this.isWanted(index));
  }
}
