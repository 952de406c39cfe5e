/**
 * Runs commands of the command-line tool in the test process.
 */

import { PassThrough, Readable } from "node:stream";
import { Cli } from "clipanion";
import { createCli } from "../cli/create_cli.ts";
import { runCli } from "../cli/run_cli.ts";

/** Exit code and output of a command. */
export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs a command.
 *
 * @param args - Arguments without the program name
 * @param input - Text for standard input
 * @returns Exit code and output
 *
 * @example
 * const { exitCode } = await runCommand(["validate", "configuration.json"]);
 */
export async function runCommand(
  args: readonly string[],
  input = "",
): Promise<CommandResult> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const exitCode = await runCli(createCli(), [...args], {
    ...Cli.defaultContext,
    stdin: Readable.from(input === "" ? [] : [input]),
    stdout,
    stderr,
  });
  const read = (stream: PassThrough) => String(stream.read() ?? "");
  return { exitCode, stdout: read(stdout), stderr: read(stderr) };
}
