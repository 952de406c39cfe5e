/**
 * Ids of the latest requests, bounded in number.
 */

/** Remembers a bounded number of ids and forgets the oldest first. */
export class RecentIds {
  readonly #ids = new Set<string>();
  readonly #limit: number;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Whether the id is remembered. */
  has(id: string): boolean {
    return this.#ids.has(id);
  }

  /** Remembers an id as the latest. */
  add(id: string): void {
    this.#ids.delete(id);
    this.#ids.add(id);
    if (this.#ids.size > this.#limit) {
      const [oldest = ""] = this.#ids;
      this.#ids.delete(oldest);
    }
  }
}
