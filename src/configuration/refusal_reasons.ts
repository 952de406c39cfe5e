/**
 * Reasons for which a configuration is refused as a whole.
 */

/** Reasons of a refusal, for metric labels and logs. */
export const REFUSAL_REASONS = {
  /** Truncated, or a field has another type. */
  unreadable: "unreadable",
  duplicateRoute: "duplicate-route",
  duplicateName: "duplicate-name",
  duplicateKey: "duplicate-key",
  invalidAccount: "invalid-account",
  unknownService: "unknown-service",
  missingHost: "missing-host",
  invalidPrefix: "invalid-prefix",
  timeoutTooLong: "timeout-too-long",
  nameTooLong: "name-too-long",
  /** Only a writer refuses it; a reader takes it with a warning. */
  inconsistent: "inconsistent",
} as const;

/** One of {@link REFUSAL_REASONS}. */
export type RefusalReason =
  (typeof REFUSAL_REASONS)[keyof typeof REFUSAL_REASONS];

/** Something in a configuration for which it is refused. */
export interface ConfigurationFinding {
  readonly reason: RefusalReason;
  /** Names of the entries concerned. */
  readonly entries: readonly string[];
  readonly message: string;
}
