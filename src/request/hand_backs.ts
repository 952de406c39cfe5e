/**
 * Instances that have handed a call back because it would finish sooner
 * elsewhere.
 */

/** Maximum number of times that a call is handed back; after that, an instance keeps it, even if all are slow. */
const MAX_HAND_BACKS = 2;

/** Counts and remembers the hand-backs of one call. */
export class HandBacks {
  #count = 0;
  #incarnations: string[] = [];

  /** Whether the next instance may hand the call back. */
  get isAllowed(): boolean {
    return this.#count < MAX_HAND_BACKS;
  }

  /** Records that an instance has handed the call back. */
  record(incarnation: string): void {
    this.#count += 1;
    this.#incarnations.push(incarnation);
  }

  /**
   * Lets the call be sent again to the instances that have handed it back, since
   * no other one is left. From then on an instance keeps it.
   *
   * @param excluded - Incarnations that the call must not be sent to
   * @returns Whether there are any such instances
   */
  releaseInto(excluded: Set<string>): boolean {
    this.#count = MAX_HAND_BACKS;
    const incarnations = this.#incarnations;
    this.#incarnations = [];
    incarnations.forEach((incarnation) => excluded.delete(incarnation));
    return incarnations.length > 0;
  }
}
