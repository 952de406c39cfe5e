/**
 * Bound on the client accounts by which metrics are divided.
 *
 * A deployment may have 100,000 accounts. Metrics name the busiest of them and
 * count the others together. Frequent accounts are found by the space-saving
 * algorithm: a bounded number of counters, of which a new account takes over
 * the smallest.
 */

/** Number of accounts that metrics name at the same time. */
const MAX_NAMED = 64;

/** Counters of accounts that are not named, from which busier ones are chosen. */
const MAX_CANDIDATES = 256;

/** Calls between two comparisons of named accounts and candidates. */
const REVIEW_INTERVAL_CALLS = 16_384;

/** A candidate replaces a named account that made fewer than this share of its calls, so that accounts alike do not displace each other. */
const REPLACE_RATIO = 0.5;

/** Label of calls without an account and of accounts that are not named. */
const OTHER = "other";

/** Chooses the accounts that metrics name. */
export class AccountLabels {
  readonly #reportRemoval: (name: string) => void;
  readonly #named = new Map<string, number>();
  readonly #candidates = new Map<string, number>();
  #callsUntilReview = REVIEW_INTERVAL_CALLS;

  /** `reportRemoval` is called with each account that is no longer named. */
  constructor(reportRemoval: (name: string) => void) {
    this.#reportRemoval = reportRemoval;
  }

  /** Counts a call of an account and returns the label for it. */
  label(name: string): string {
    if (name === OTHER) {
      return OTHER;
    }
    this.#callsUntilReview -= 1;
    if (this.#callsUntilReview <= 0) {
      this.#review();
    }
    const count = this.#named.get(name);
    if (count !== undefined || this.#named.size < MAX_NAMED) {
      this.#named.set(name, (count ?? 0) + 1);
      return name;
    }
    this.#countCandidate(name);
    return OTHER;
  }

  #countCandidate(name: string): void {
    const count = this.#candidates.get(name);
    if (count !== undefined || this.#candidates.size < MAX_CANDIDATES) {
      this.#candidates.set(name, (count ?? 0) + 1);
      return;
    }
    const [smallest, smallestCount] = findSmallest(this.#candidates);
    this.#candidates.delete(smallest);
    this.#candidates.set(name, smallestCount + 1);
  }

  /** Names busier accounts instead of quiet ones, and halves all counts, so that they follow changes. */
  #review(): void {
    this.#callsUntilReview = REVIEW_INTERVAL_CALLS;
    const candidates = [...this.#candidates].sort(([, one], [, other]) =>
      other - one
    );
    for (const [name, count] of candidates) {
      const [quietest, quietestCount] = findSmallest(this.#named);
      if (quietestCount >= count * REPLACE_RATIO) {
        break;
      }
      this.#named.delete(quietest);
      this.#candidates.delete(name);
      this.#named.set(name, count);
      this.#reportRemoval(quietest);
    }
    for (const counts of [this.#named, this.#candidates]) {
      for (const [name, count] of counts) {
        counts.set(name, count / 2);
      }
    }
  }
}

function findSmallest(
  counts: ReadonlyMap<string, number>,
): readonly [string, number] {
  let smallest: readonly [string, number] = ["", Number.POSITIVE_INFINITY];
  for (const entry of counts) {
    if (entry[1] < smallest[1]) {
      smallest = entry;
    }
  }
  return smallest;
}
