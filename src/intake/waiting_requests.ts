/**
 * Requests that were read and wait to be begun.
 */

/** What the order depends on. */
export interface RankedRequest {
  /** Rank of the request; 0 is the most important. */
  readonly rank: number;
  /** When it is refused unless it has begun, in monotonic milliseconds. */
  readonly expiresAtMs: number;
}

/**
 * Requests by rank. Within a rank the newest is taken first: while more arrive
 * than can be begun, the oldest ones are those whose callers leave next.
 */
export class WaitingRequests<T extends RankedRequest> {
  readonly #byRank = new Map<number, T[]>();
  #ranks: number[] = [];
  #count = 0;

  /** Number of waiting requests. */
  get count(): number {
    return this.#count;
  }

  /** Adds a request. */
  add(request: T): void {
    let requests = this.#byRank.get(request.rank);
    if (!requests) {
      requests = [];
      this.#byRank.set(request.rank, requests);
      this.#ranks = [...this.#byRank.keys()].sort((one, other) => one - other);
    }
    requests.push(request);
    this.#count += 1;
  }

  /** Removes and returns the newest request of the most important rank. */
  takeNext(): T | undefined {
    for (const rank of this.#ranks) {
      const request = this.#byRank.get(rank)?.pop();
      if (request) {
        this.#count -= 1;
        return request;
      }
    }
    return undefined;
  }

  /** Removes and returns the requests that match. */
  takeAll(matches: (request: T) => boolean): T[] {
    const taken: T[] = [];
    for (const [rank, requests] of this.#byRank) {
      const kept = requests.filter((request) => !matches(request));
      if (kept.length < requests.length) {
        taken.push(...requests.filter(matches));
        this.#byRank.set(rank, kept);
      }
    }
    this.#count -= taken.length;
    return taken;
  }
}
