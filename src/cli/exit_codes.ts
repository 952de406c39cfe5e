/**
 * Exit codes of the operator tool.
 */

/** What each exit code means. */
export const EXIT_CODES = {
  /** Done as asked. */
  success: 0,
  /** Something could not be reached or read. */
  failure: 1,
  /** Flags or arguments are wrong. */
  usageError: 2,
  /** A configuration or answers are invalid; every finding was named. */
  invalid: 3,
  /** Others changed the configuration meanwhile, or hand changes and answers disagree. */
  conflict: 4,
  /** The write may have taken effect; the history tells. */
  unknownOutcome: 5,
  /** Accepted, but not in force everywhere within the wait. */
  notActive: 6,
  /** `diff --exit-code` found a difference. */
  differs: 7,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** The exit codes in words, for help texts. */
export const EXIT_CODE_HELP =
  "Exit codes: 0 done; 1 something could not be reached or read; 2 wrong flags; " +
  "3 invalid configuration or answers; 4 conflict with others' or hand changes; " +
  "5 the write may have taken effect; 6 accepted but not in force everywhere in time; " +
  "7 a difference was found by diff --exit-code.";
