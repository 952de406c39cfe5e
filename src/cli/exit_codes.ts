/**
 * Exit codes of the operator tool.
 */

/** What the exit code of a command says. */
export const EXIT_CODES = {
  /** The command did what it was asked. */
  done: 0,
  /** The command failed; standard error says why. */
  failed: 1,
  /** Flags, arguments or files were wrong; nothing was done. */
  wrongUse: 2,
} as const;
