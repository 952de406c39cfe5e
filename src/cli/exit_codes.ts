/**
 * Exit codes of the operator tool.
 */

/** Exit codes by meaning. */
export const EXIT_CODES = {
  /** The command succeeded. */
  success: 0,
  /** Any other failure, such as a daemon, the object API or a file that could not be reached or read. */
  failure: 1,
  /** Invalid options or arguments. */
  usageError: 2,
  /** A configuration or answers are invalid; all findings were printed. */
  invalid: 3,
  /** The configuration was changed concurrently, or manual changes conflict with answers. */
  conflict: 4,
  /** The write may have taken effect; the history shows whether it did. */
  unknownOutcome: 5,
  /** Accepted, but not active on all daemons within the wait time. */
  notActive: 6,
  /** `diff --exit-code` found differences. */
  differs: 7,
  /** `check` found questionable entries in a valid configuration. */
  questionable: 8,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** Description of the exit codes for help texts. */
export const EXIT_CODE_HELP =
  "Exit codes: 0 success; 1 other failure, such as a daemon, the object API or a file that could not be reached or read; 2 usage error; " +
  "3 invalid configuration or answers; 4 conflict with concurrent or manual changes; " +
  "5 the write may have taken effect; 6 accepted but not active on all daemons in time; " +
  "7 diff --exit-code found differences; 8 check found questionable entries.";
