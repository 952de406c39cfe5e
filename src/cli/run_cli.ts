/**
 * Execution of one command.
 */

import { UsageError } from "clipanion";
import type { BaseContext, Cli, Command } from "clipanion";
import { EXIT_CODES } from "./exit_codes.ts";

/**
 * Parses the arguments and runs the command. Usage errors are printed to standard
 * error and have their own exit code.
 *
 * @param cli - The command-line interface
 * @param input - Arguments without the program name
 * @param context - Standard streams and environment of the process
 * @returns The exit code
 *
 * @example
 * process.exitCode = await runCli(createCli(), process.argv.slice(2), Cli.defaultContext);
 */
export async function runCli(
  cli: Cli,
  input: string[],
  context: BaseContext,
): Promise<number> {
  let command: Command;
  try {
    command = cli.process(input, context);
  } catch (error) {
    context.stderr.write(cli.error(error));
    return EXIT_CODES.usageError;
  }
  let isUsageError = false;
  command.catch = (error) => {
    isUsageError = error instanceof UsageError;
    return Promise.reject(error);
  };
  const exitCode = await cli.run(command, context);
  return isUsageError ? EXIT_CODES.usageError : exitCode;
}
