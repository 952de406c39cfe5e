/**
 * Incarnations by a name that several of them may share.
 */

/** Sets of incarnations by name; a name without incarnations is not kept. */
export class MemberIndex {
  readonly #incarnations = new Map<string, Set<string>>();

  /** Names with at least one incarnation. */
  get names(): string[] {
    return [...this.#incarnations.keys()];
  }

  /** Incarnations under a name. */
  get(name: string): ReadonlySet<string> {
    return this.#incarnations.get(name) ?? EMPTY;
  }

  /** Adds an incarnation. */
  add(name: string, incarnation: string): void {
    const known = this.#incarnations.get(name);
    if (known) {
      known.add(incarnation);
    } else {
      this.#incarnations.set(name, new Set([incarnation]));
    }
  }

  /** Takes out an incarnation. */
  remove(name: string, incarnation: string): void {
    const known = this.#incarnations.get(name);
    if (known?.delete(incarnation) && known.size === 0) {
      this.#incarnations.delete(name);
    }
  }
}

const EMPTY: ReadonlySet<string> = new Set();
