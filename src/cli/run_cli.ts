/**
 * Running of one command.
 */

import { UsageError } from "clipanion";
import type { BaseContext, Cli, Command } from "clipanion";
import { EXIT_CODES } from "./exit_codes.ts";

/**
 * Runs the command that arguments name. Wrong use gets its own exit code and is
 * explained on standard error.
 *
 * @param cli - The command line
 * @param input - Arguments without the program's name
 * @param context - Streams of the process
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
  let isWrongUse = false;
  command.catch = (error) => {
    isWrongUse = error instanceof UsageError;
    return Promise.reject(error);
  };
  const exitCode = await cli.run(command, context);
  return isWrongUse ? EXIT_CODES.usageError : exitCode;
}
