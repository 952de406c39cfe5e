/**
 * Failure domains whose calls have left them and run on the instance of this
 * VM. The answers of this VM name them, so that the daemons of its own domain do
 * not send calls to those domains at the same time.
 */

import type { Clock } from "../time/mod.ts";

/** Time for which a call counts, in milliseconds. */
const RECEIPT_MS = 1_000;

/** Maximum number of domains; reaching it forgets all of them. */
const MAX_DOMAINS = 64;

/** Domains from which calls arrived lately. */
export class SpillReceipts {
  readonly #clock: Clock;
  readonly #receivedAtMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a call that has left a domain. */
  record(domain: string): void {
    if (this.#receivedAtMs.size >= MAX_DOMAINS) {
      this.#receivedAtMs.clear();
    }
    this.#receivedAtMs.set(domain, this.#clock.monotonicMs());
  }

  /** Lists the domains from which calls arrived lately. */
  list(): readonly string[] {
    if (this.#receivedAtMs.size === 0) {
      return [];
    }
    const nowMs = this.#clock.monotonicMs();
    for (const [domain, atMs] of this.#receivedAtMs) {
      if (nowMs - atMs > RECEIPT_MS) {
        this.#receivedAtMs.delete(domain);
      }
    }
    return [...this.#receivedAtMs.keys()];
  }
}
