/**
 * Pool of prefetched idempotency keys.
 */

import type { TestCaller } from "../../testing/test_caller.ts";

const KEYS_PER_FETCH = 100;
const REFILL_THRESHOLD = 50;

/** Prefetches idempotency keys from each daemon and hands them out. */
export class KeyPool {
  readonly #caller: TestCaller;
  readonly #keys = new Map<string, string[]>();
  readonly #fetches = new Map<string, Promise<void>>();

  constructor(caller: TestCaller) {
    this.#caller = caller;
  }

  /**
   * Takes a key that the daemon at `entryUrl` issued, or returns an empty string if
   * no key could be fetched.
   */
  async take(entryUrl: string): Promise<string> {
    const keys = this.#keys.get(entryUrl) ?? [];
    if (keys.length < REFILL_THRESHOLD) {
      const fetch = this.#refill(entryUrl);
      if (keys.length === 0) {
        await fetch;
      }
    }
    return this.#keys.get(entryUrl)?.shift() ?? "";
  }

  #refill(entryUrl: string): Promise<void> {
    const fetch = this.#fetches.get(entryUrl) ?? this.#fetch(entryUrl);
    this.#fetches.set(entryUrl, fetch);
    return fetch;
  }

  async #fetch(entryUrl: string): Promise<void> {
    const fetched = await this.#caller.fetchKeys(entryUrl, KEYS_PER_FETCH)
      .catch(() => []);
    const keys = this.#keys.get(entryUrl) ?? [];
    this.#keys.set(entryUrl, keys);
    keys.push(...fetched);
    this.#fetches.delete(entryUrl);
  }
}
