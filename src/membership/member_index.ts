/**
 * Index of incarnations by a shared name, such as a service or failure domain.
 */

/** Sets of incarnations by name. Names without incarnations are removed. */
export class MemberIndex {
  readonly #incarnations = new Map<string, Set<string>>();

  /** Lists the names with at least one incarnation. */
  get names(): string[] {
    return [...this.#incarnations.keys()];
  }

  /** Returns the incarnations with a name. */
  get(name: string): ReadonlySet<string> {
    return this.#incarnations.get(name) ?? EMPTY;
  }

  /** Adds an incarnation under a name. */
  add(name: string, incarnation: string): void {
    const incarnations = this.#incarnations.get(name);
    if (incarnations) {
      incarnations.add(incarnation);
    } else {
      this.#incarnations.set(name, new Set([incarnation]));
    }
  }

  /** Removes an incarnation from a name. */
  remove(name: string, incarnation: string): void {
    const incarnations = this.#incarnations.get(name);
    if (incarnations?.delete(incarnation) && incarnations.size === 0) {
      this.#incarnations.delete(name);
    }
  }
}

const EMPTY: ReadonlySet<string> = new Set();
