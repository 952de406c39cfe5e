/**
 * The platform's object API as the rest of the system sees it.
 */

import type { Result } from "neverthrow";

/** An object with the version that the store gave it. */
export interface StoredObject {
  readonly version: number;
  readonly value: unknown;
}

/** What a read, write or watch can end in when it does not succeed. */
export interface StoreFailure {
  /**
   * - `unavailable`: nothing was changed.
   * - `unsure`: the write may have taken effect.
   * - `conflict`: the object has another version; `current` holds it.
   */
  readonly kind: "unavailable" | "unsure" | "conflict";
  readonly message: string;
  readonly current?: StoredObject | undefined;
}

/** Access to versioned objects. */
export abstract class ObjectStore {
  /** Reads an object; undefined if there is none. */
  abstract read(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreFailure>>;

  /** Writes an object if it still has `expectedVersion` (0: does not exist); gives the new version. */
  abstract write(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreFailure>>;

  /** Waits until the object has a version above `afterVersion`; undefined when nothing came in time. */
  abstract watch(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>>;
}
