/**
 * Retry allowance: the extra attempts that a call and its nested calls may make.
 *
 * Attempts lent to a nested call are deducted immediately, so parallel calls
 * together never exceed the allowance. Only attempts that a reply reports as
 * unused are returned; a lost reply returns none.
 */

/** The retry allowance of one running call. */
export class RetryAllowance {
  #left: number;

  constructor(attempts: number) {
    this.#left = attempts;
  }

  /** Extra attempts that are not lent to nested calls. */
  get remaining(): number {
    return this.#left;
  }

  /**
   * Lends a share of the remaining attempts to a nested call.
   *
   * @param expectedCalls - Nested calls still expected, including this one
   * @returns The attempts lent
   */
  lend(expectedCalls: number): number {
    const lent = Math.ceil(this.#left / Math.max(1, expectedCalls));
    this.#left -= lent;
    return lent;
  }

  /**
   * Returns the unused attempts of a nested call to the allowance.
   *
   * @param lent - Attempts that were lent to the call
   * @param unused - Attempts that its reply reports as unused; at most `lent` are returned
   */
  takeBack(lent: number, unused: number): void {
    this.#left += Math.min(lent, Math.max(0, unused));
  }

  /** Closes the allowance, so that it lends no more, and returns the remaining attempts. */
  close(): number {
    const left = this.#left;
    this.#left = 0;
    return left;
  }
}
