/**
 * Use of the slots by one account, or by several whose names hash to one bucket.
 */

/** Time constant of the exponential decay of arrivals and grants, in milliseconds. */
const TIME_CONSTANT_MS = 10_000;

/** Slot time and recent calls of an account within a class. */
export class AccountShare {
  /** Virtual time up to which the account has used slots, in milliseconds of slot time. */
  usedUntilMs = 0;
  /** Calls that wait or run; a share with any must not be replaced. */
  openCalls = 0;
  #arrivals = 0;
  #grants = 0;
  #updatedAtMs: number;

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /** Records an arriving call. */
  recordArrival(nowMs: number): void {
    this.#decay(nowMs);
    this.#arrivals += 1;
  }

  /** Records a call that gets a slot. */
  recordGrant(nowMs: number): void {
    this.#decay(nowMs);
    this.#grants += 1;
  }

  /** Returns the recent arrivals. */
  readArrivals(nowMs: number): number {
    this.#decay(nowMs);
    return this.#arrivals;
  }

  /** Recent share of the calls that got a slot. */
  get grantRatio(): number {
    return this.#grants / Math.max(1, this.#arrivals);
  }

  #decay(nowMs: number): void {
    const weight = Math.exp((this.#updatedAtMs - nowMs) / TIME_CONSTANT_MS);
    this.#updatedAtMs = nowMs;
    this.#arrivals *= weight;
    this.#grants *= weight;
  }
}
