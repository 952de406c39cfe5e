/**
 * Exit codes of failed commands.
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
 * Chooses the exit code for an error.
 *
 * @param error - What ended the command
 * @returns The exit code
 *
 * @example
 * return chooseExitCode(accepted.error);
 */
export function chooseExitCode(error: VError): ExitCode {
  return EXIT_CODES_BY_ERROR_NAME[error.name] ?? EXIT_CODES.failure;
}
