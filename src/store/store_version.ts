/**
 * Versions of stored objects.
 *
 * A store that returns from a copy loses its latest changes and assigns their
 * revisions again, to other changes. It then starts a new era, so a revision
 * identifies a change only together with its era.
 */

/** Version that the store assigned to an object. */
export interface StoreVersion {
  /** Number of the era; 0 for a store that has no eras. */
  readonly era: number;
  /** Revision within the era; 0 if the object does not exist. */
  readonly revision: number;
}

/** Version of an object that does not exist. */
export const NO_VERSION: StoreVersion = { era: 0, revision: 0 };

/**
 * Compares two versions.
 *
 * @param left - A version
 * @param right - The version to compare it with
 * @returns Whether `left` is from a later era, or has a higher revision of the same era
 *
 * @example
 * isLaterVersion({ era: 2, revision: 5 }, { era: 1, revision: 9 }); // true
 */
export function isLaterVersion(
  left: StoreVersion,
  right: StoreVersion,
): boolean {
  return left.era === right.era
    ? left.revision > right.revision
    : left.era > right.era;
}
