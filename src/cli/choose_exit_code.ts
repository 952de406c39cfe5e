/**
 * Maps errors to exit codes.
 */

import type VError from "verror";
import { EXIT_CODES } from "./exit_codes.ts";
import type { ExitCode } from "./exit_codes.ts";

const EXIT_CODES_BY_ERROR_NAME: Readonly<Record<string, ExitCode>> = {
  AnswersInvalid: EXIT_CODES.invalid,
  ConfigurationInvalid: EXIT_CODES.invalid,
  ProposalInvalid: EXIT_CODES.invalid,
  ConfigurationConflict: EXIT_CODES.conflict,
  AnswersConflict: EXIT_CODES.conflict,
  ConfigurationUnsettled: EXIT_CODES.unknownOutcome,
  WrongUse: EXIT_CODES.usageError,
};

/**
 * Chooses the exit code for an error by the error's name.
 *
 * @param error - The error that a command failed with
 * @returns The exit code; `EXIT_CODES.failure` for names without a code of their own
 *
 * @example
 * return chooseExitCode(accepted.error);
 */
export function chooseExitCode(error: VError): ExitCode {
  return EXIT_CODES_BY_ERROR_NAME[error.name] ?? EXIT_CODES.failure;
}
