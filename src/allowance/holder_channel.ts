/**
 * Messages in progress to one holder.
 */

/** Interval of messages to a holder while there are requests of its accounts here, in milliseconds. */
const UPDATE_INTERVAL_MS = 300;

/** Interval of messages that only renew the delegation, in milliseconds; a second one still comes before it expires. */
const RENEWAL_INTERVAL_MS = 400;

/** Time after which a request for tokens without a reply does not hold back the next, in milliseconds. */
const ASK_TIMEOUT_MS = 100;

/** Time between two messages that ask for accounts for which many daemons ask, in milliseconds. */
const PATIENT_INTERVAL_MS = 150;

/** Decides when a message may be sent to a holder. */
export class HolderChannel {
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #pending = 0;

  /** Whether the next periodic message is due. */
  isDue(nowMs: number, hasRequests: boolean): boolean {
    const intervalMs = hasRequests ? UPDATE_INTERVAL_MS : RENEWAL_INTERVAL_MS;
    return nowMs - this.#sentAtMs >= intervalMs;
  }

  /** Whether tokens may be asked for: one message at a time, unless its reply is late. */
  canAsk(nowMs: number): boolean {
    return this.#pending === 0 || nowMs - this.#sentAtMs >= ASK_TIMEOUT_MS;
  }

  /** Whether tokens may be asked for that many daemons ask for. */
  canAskPatiently(nowMs: number): boolean {
    return this.canAsk(nowMs) && nowMs - this.#sentAtMs >= PATIENT_INTERVAL_MS;
  }

  /** Records that a message is sent. */
  begin(nowMs: number): void {
    this.#sentAtMs = nowMs;
    this.#pending += 1;
  }

  /** Records the reply, or that there is none. */
  end(): void {
    this.#pending -= 1;
  }
}
