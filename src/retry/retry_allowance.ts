/**
 * The extra attempts that a call and everything below it may still make.
 *
 * What is lent to a nested call is taken out at once, so calls made in parallel
 * never hold more than there is together. Only what a reply says is unused comes
 * back; a reply that never came brings nothing back.
 */

/** The allowance of one running call. */
export class RetryAllowance {
  #left: number;

  constructor(attempts: number) {
    this.#left = attempts;
  }

  /** Extra attempts that are not lent. */
  get remaining(): number {
    return this.#left;
  }

  /** Lends a share to a nested call when `expectedCalls` are still to come, this one included. */
  lend(expectedCalls: number): number {
    const lent = Math.ceil(this.#left / Math.max(1, expectedCalls));
    this.#left -= lent;
    return lent;
  }

  /** Takes back what a nested call did not use, never more than it was lent. */
  takeBack(lent: number, unused: number): void {
    this.#left += Math.min(lent, Math.max(0, unused));
  }

  /** Ends the lending and gives what is left. */
  close(): number {
    const left = this.#left;
    this.#left = 0;
    return left;
  }
}
