/**
 * Tokens of one account that this daemon has borrowed.
 */

/** Time after the sending of a request for tokens until these expire, in milliseconds. */
export const TOKEN_LIFETIME_MS = 400;

interface Batch {
  readonly holder: string;
  readonly expiresAtMs: number;
  count: number;
}

/** A token taken out for a request. */
export interface TakenToken {
  readonly holder: string;
  readonly expiresAtMs: number;
}

/** Tokens by the holder that lent them and the time at which they expire. */
export class BorrowedTokens {
  #batches: Batch[] = [];
  readonly #unused = new Map<string, number>();

  /** Number of tokens that can be used. */
  count(nowMs: number): number {
    this.#removeExpired(nowMs);
    return this.#batches.reduce((sum, { count }) => sum + count, 0);
  }

  /** Whether there are tokens to return. */
  hasUnused(nowMs: number): boolean {
    this.#removeExpired(nowMs);
    return this.#unused.size > 0;
  }

  /** Adds borrowed tokens; those that have expired are returned later. */
  add(count: number, { holder, expiresAtMs }: TakenToken): void {
    if (count > 0) {
      this.#batches.push({ holder, expiresAtMs, count });
    }
  }

  /** Takes the token that expires first, if there is one. */
  take(nowMs: number): TakenToken | undefined {
    this.#removeExpired(nowMs);
    const [batch] = this.#batches;
    if (!batch) {
      return undefined;
    }
    batch.count -= 1;
    if (batch.count === 0) {
      this.#batches.shift();
    }
    return batch;
  }

  /** Puts back the token of a request that reached no backend server. */
  putBack(token: TakenToken, nowMs: number): void {
    if (nowMs < token.expiresAtMs) {
      this.#batches.unshift({ ...token, count: 1 });
    } else {
      this.#addUnused(token.holder, 1);
    }
  }

  /** Drops all tokens; they are neither used nor returned. */
  drop(): void {
    this.#batches = [];
    this.#unused.clear();
  }

  /** Returns the number of unused tokens of a holder, once, and forgets those of others. */
  takeUnused(holder: string, nowMs: number): number {
    this.#removeExpired(nowMs);
    const unused = this.#unused.get(holder) ?? 0;
    this.#unused.clear();
    return unused;
  }

  #removeExpired(nowMs: number): void {
    if (this.#batches.every(({ expiresAtMs }) => nowMs < expiresAtMs)) {
      return;
    }
    for (const { holder, count, expiresAtMs } of this.#batches) {
      if (nowMs >= expiresAtMs) {
        this.#addUnused(holder, count);
      }
    }
    this.#batches = this.#batches.filter(({ expiresAtMs }) =>
      nowMs < expiresAtMs
    );
  }

  #addUnused(holder: string, count: number): void {
    this.#unused.set(holder, (this.#unused.get(holder) ?? 0) + count);
  }
}
