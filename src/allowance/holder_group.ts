/**
 * Shares and buckets of one account group at its holder.
 */

import type { AccountBucket } from "./account_bucket.ts";
import type { DelegatedShare } from "./allowance_message.ts";
import type { HeldGroup } from "./allowance_status.ts";
import { computePartialLimits } from "./compute_partial_limits.ts";
import { DelegatedShares } from "./delegated_shares.ts";

/** When a share arrived, and for how long it is delegated. */
export interface ShareTimes {
  readonly nowMs: number;
  readonly remainingMs: number;
}

/** Keeps the buckets in step with the shares. */
export class HolderGroup {
  readonly shares = new DelegatedShares();
  readonly buckets = new Map<string, AccountBucket>();
  usedAtMs = Number.NEGATIVE_INFINITY;
  gatherUntilMs = 0;

  /** Takes a daemon's share, or its renewal; returns whether the part of the allowance may have changed. */
  addShare(
    sender: string,
    { memberCount, unusedMs }: DelegatedShare,
    { nowMs, remainingMs }: ShareTimes,
  ): boolean {
    if (remainingMs <= 0 || memberCount < 1) {
      return false;
    }
    const { shares, buckets } = this;
    this.settle(nowMs);
    const fraction = 1 / memberCount;
    const isChange = shares.isChange(sender, fraction);
    if (isChange) {
      buckets.forEach((bucket) => bucket.refill(nowMs));
    }
    const untilMs = nowMs + remainingMs;
    const isGain = shares.add(sender, { fraction, unusedMs, nowMs, untilMs });
    if (!isChange) {
      return false;
    }
    for (const bucket of buckets.values()) {
      const { ratePerSecond, capacity } = computePartialLimits(
        bucket.limits,
        fraction,
      );
      const accrued = ratePerSecond * unusedMs / 1_000;
      bucket.setFraction(
        shares.fraction,
        isGain ? Math.min(capacity, accrued) : 0,
      );
    }
    return true;
  }

  /** Takes a daemon's share away at once. */
  revoke(owner: string, nowMs: number): void {
    if (this.shares.has(owner)) {
      this.settle(nowMs);
      this.shares.remove(owner);
      this.#applyFraction();
    }
  }

  /** Ends expired delegations, each with what had accrued until then. */
  settle(nowMs: number): void {
    const { shares, buckets } = this;
    for (
      let expiryMs = shares.findExpiry(nowMs);
      expiryMs !== undefined;
      expiryMs = shares.findExpiry(nowMs)
    ) {
      for (const bucket of buckets.values()) {
        bucket.refill(expiryMs);
      }
      shares.removeExpired(expiryMs);
      this.#applyFraction();
    }
  }

  /** Describes the shares and the accounts. */
  describe(): Omit<HeldGroup, "group"> {
    const { shares, buckets } = this;
    let borrowers = 0;
    buckets.forEach(({ borrowerCount }) =>
      borrowers = Math.max(borrowers, borrowerCount)
    );
    return {
      shares: shares.count,
      fraction: shares.fraction,
      accounts: buckets.size,
      borrowers,
    };
  }

  #applyFraction(): void {
    const { buckets, shares } = this;
    buckets.forEach((bucket) => bucket.setFraction(shares.fraction));
  }
}
