/**
 * Members that ended, or were cut off, without saying that they leave. They may
 * still serve callers, so their shares of the allowances are not given to others
 * while their record is kept.
 */

/** Maximum number of members remembered; membership keeps fewer dead records. */
const MAX_MEMBERS = 4_096;

/** Incarnations of such members. */
export class SilentMembers {
  readonly #incarnations = new Set<string>();

  /** Records the loss of a member. */
  add(incarnation: string): void {
    this.#incarnations.add(incarnation);
    if (this.#incarnations.size > MAX_MEMBERS) {
      const [oldest = ""] = this.#incarnations;
      this.#incarnations.delete(oldest);
    }
  }

  /** Whether a dead member was lost without notice. */
  has(incarnation: string): boolean {
    return this.#incarnations.has(incarnation);
  }
}
