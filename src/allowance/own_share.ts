/**
 * Where this daemon's share of an account group is: with one holder at a time.
 *
 * The daemon is its own holder while it reaches no other. A delegation is over
 * only when it has expired by any clock, so that two holders never have the same
 * share.
 */

/** Time for which a share is delegated, in milliseconds. */
export const DELEGATION_MS = 1_000;

/**
 * Time after the expiry before the share is delegated elsewhere, in
 * milliseconds. Covers the transit time that the receiver of a delegation
 * cannot measure, and the difference in speed of two clocks.
 */
const EXPIRY_MARGIN_MS = 100;

/**
 * Time after the start of the process before its share counts, in milliseconds.
 * Its predecessor may have delegated the share until its end, which was before
 * that start.
 */
const STARTING_MS = DELEGATION_MS + 2 * EXPIRY_MARGIN_MS;

/** Location of one share. */
export class OwnShare {
  #holder = "";
  #untilMs: number;

  /** Creates the share of a process that started at `startedAtMs` on its monotonic clock. */
  constructor(startedAtMs: number) {
    this.#untilMs = startedAtMs + STARTING_MS - EXPIRY_MARGIN_MS;
  }

  /** Incarnation of the holder, or of the last one; empty before the first. */
  get holder(): string {
    return this.#holder;
  }

  /** Whether the share is with its last holder. */
  isDelegated(nowMs: number): boolean {
    return this.#holder !== "" && nowMs < this.#untilMs;
  }

  /** Whether the share may be delegated to a holder now. */
  isAvailable(holder: string, nowMs: number): boolean {
    return this.#holder === holder || nowMs >= this.#freeAtMs;
  }

  /** Time for which the share has been unused, in milliseconds; 0 while it is delegated. */
  getUnusedMs(nowMs: number): number {
    return Math.max(0, nowMs - this.#freeAtMs);
  }

  /** Delegates the share to a holder, or renews the delegation. Called before the message is sent. */
  delegate(holder: string, nowMs: number): void {
    this.#holder = holder;
    this.#untilMs = nowMs + DELEGATION_MS;
  }

  /** Ends the delegation to a holder that is known to use the share no more. */
  recall(nowMs: number): void {
    this.#holder = "";
    this.#untilMs = Math.min(this.#untilMs, nowMs - EXPIRY_MARGIN_MS);
  }

  get #freeAtMs(): number {
    return this.#untilMs + EXPIRY_MARGIN_MS;
  }
}
