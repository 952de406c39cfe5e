/**
 * Why a daemon has no configuration that it may serve with.
 */

/** Reasons, as in logs, metrics and the readiness response. */
export const MISSING_REASONS = {
  /** Neither the store nor a peer has answered yet. */
  notRead: "store-not-read",
  /** The store answered that it has none. */
  noneStored: "none-stored",
  /** The latest call to the store failed. */
  storeUnavailable: "store-unavailable",
  /** The store has one whose content could not be read or put together. */
  unreadable: "unreadable",
  /** The only known version was refused. */
  refused: "refused-version",
  /** One is active, but peers or the store may have a higher one. */
  notConfirmed: "not-confirmed",
} as const;

/** One of {@link MISSING_REASONS}. */
export type MissingReason =
  (typeof MISSING_REASONS)[keyof typeof MISSING_REASONS];

/** Why there is no usable configuration. */
export interface MissingConfiguration {
  readonly reason: MissingReason;
  /** The refused or unconfirmed version; 0 if there is none, or if it is not known. */
  readonly version: number;
}
