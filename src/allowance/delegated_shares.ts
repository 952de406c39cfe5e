/**
 * Shares of one account group that daemons have delegated to a holder.
 */

interface HeldShare {
  readonly fraction: number;
  /** Since when nobody but this holder has used the share. */
  readonly unusedSinceMs: number;
  readonly untilMs: number;
}

/** A share received from a daemon. */
export interface ReceivedShare {
  readonly fraction: number;
  readonly unusedMs: number;
  readonly nowMs: number;
  /** When the share is no longer valid, on the holder's monotonic clock. */
  readonly untilMs: number;
}

/** Valid shares by the incarnation of the daemon that owns them. */
export class DelegatedShares {
  readonly #shares = new Map<string, HeldShare>();
  #sum = 0;
  /** No share expires earlier. */
  #nextExpiryMs = Number.POSITIVE_INFINITY;

  /** Number of valid shares. */
  get count(): number {
    return this.#shares.size;
  }

  /** Sum of the shares; at most 1 even if daemons differ about their number. */
  get fraction(): number {
    return Math.min(1, this.#sum);
  }

  /** Whether a daemon's share is held. */
  has(incarnation: string): boolean {
    return this.#shares.has(incarnation);
  }

  /** Returns the time at which the next share expires if that is due, otherwise undefined. */
  findExpiry(nowMs: number): number | undefined {
    if (nowMs < this.#nextExpiryMs) {
      return undefined;
    }
    this.#nextExpiryMs = Number.POSITIVE_INFINITY;
    for (const { untilMs } of this.#shares.values()) {
      this.#nextExpiryMs = Math.min(this.#nextExpiryMs, untilMs);
    }
    return nowMs < this.#nextExpiryMs ? undefined : this.#nextExpiryMs;
  }

  /** Removes the shares that are not valid after a time. */
  removeExpired(atMs: number): void {
    for (const [incarnation, { untilMs }] of this.#shares) {
      if (untilMs <= atMs) {
        this.#shares.delete(incarnation);
      }
    }
    this.#update();
  }

  /** Whether adding a share would change the sum. */
  isChange(incarnation: string, fraction: number): boolean {
    return this.#shares.get(incarnation)?.fraction !== fraction;
  }

  /** Adds or renews a share; returns whether it was not held before. */
  add(
    incarnation: string,
    { fraction, unusedMs, nowMs, untilMs }: ReceivedShare,
  ): boolean {
    const known = this.#shares.get(incarnation);
    this.#shares.set(incarnation, {
      fraction,
      unusedSinceMs: known?.unusedSinceMs ?? nowMs - unusedMs,
      untilMs: Math.max(untilMs, known?.untilMs ?? 0),
    });
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, untilMs);
    if (known?.fraction !== fraction) {
      this.#update();
    }
    return known === undefined;
  }

  /** Removes a daemon's share. */
  remove(incarnation: string): void {
    this.#shares.delete(incarnation);
    this.#update();
  }

  /**
   * Computes the tokens that an account without a bucket has, from the time
   * since when each share is unused.
   */
  sumTokens(
    { ratePerSecond, capacity }: {
      readonly ratePerSecond: number;
      readonly capacity: number;
    },
    { nowMs, sinceMs }: { readonly nowMs: number; readonly sinceMs: number },
  ): number {
    let tokens = 0;
    for (const { fraction, unusedSinceMs } of this.#shares.values()) {
      const unusedS = (nowMs - Math.max(unusedSinceMs, sinceMs)) / 1_000;
      tokens += fraction * Math.min(capacity, ratePerSecond * unusedS);
    }
    return Math.max(0, Math.min(tokens, capacity));
  }

  #update(): void {
    this.#sum = 0;
    for (const { fraction } of this.#shares.values()) {
      this.#sum += fraction;
    }
  }
}
