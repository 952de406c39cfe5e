/**
 * Interface to the platform's object API.
 */

import type { Result } from "neverthrow";
import type { StoreVersion } from "./store_version.ts";

/** An object with the version that the store assigned to it. */
export interface StoredObject {
  readonly version: StoreVersion;
  readonly value: unknown;
}

/** Why a call failed, as logged and counted. */
export const FAILURE_REASONS = {
  /** No answer within the timeout; nothing on the same connection may arrive any more. */
  silent: "silent",
  /** The connection could not be opened, or broke. */
  connection: "connection",
  /** The store answered with an unexpected status or body. */
  refused: "refused",
  /** The answer is from an earlier era, or states none. */
  outdated: "outdated",
  /** The limit of this process was reached; nothing was sent. */
  limited: "limited",
} as const;

/** One of {@link FAILURE_REASONS}. */
export type FailureReason =
  (typeof FAILURE_REASONS)[keyof typeof FAILURE_REASONS];

/** The reason why a read, write or watch failed. */
export interface StoreFailure {
  /**
   * - `unavailable`: the call failed and nothing was changed.
   * - `unsure`: the write may have taken effect.
   * - `conflict`: the object has a different version; `current` is the stored object.
   */
  readonly kind: "unavailable" | "unsure" | "conflict";
  readonly message: string;
  readonly current?: StoredObject | undefined;
  readonly reason?: FailureReason | undefined;
}

/** A store of versioned objects with conditional writes. */
export abstract class ObjectStore {
  /** The latest known era of the store; 0 if none is known. */
  abstract get era(): number;

  /** Reads an object; undefined if it does not exist. */
  abstract read(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreFailure>>;

  /**
   * Writes an object if its version is `expected` (`NO_VERSION`: it does not
   * exist); returns the new version.
   */
  abstract write(
    key: string,
    value: unknown,
    expected: StoreVersion,
  ): Promise<Result<StoreVersion, StoreFailure>>;

  /** Waits for a version later than `after`; undefined after `timeoutMs` milliseconds. */
  abstract watch(
    key: string,
    after: StoreVersion,
    timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>>;
}
