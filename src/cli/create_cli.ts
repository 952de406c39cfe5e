/**
 * Registration of all commands of the operator tool.
 */

import { Builtins, Cli } from "clipanion";
import { ApplyCommand } from "./apply_command.ts";
import { CheckCommand } from "./check_command.ts";
import { DiffCommand } from "./diff_command.ts";
import { DrainCommand, UndrainCommand } from "./drain_command.ts";
import { ExplainCommand } from "./explain_command.ts";
import { ExplainVersionCommand } from "./explain_version_command.ts";
import { HistoryCommand } from "./history_command.ts";
import { InitCommand } from "./init_command.ts";
import { QuarantineCommand, ReleaseCommand } from "./quarantine_command.ts";
import { RollbackCommand } from "./rollback_command.ts";
import { ShowCommand } from "./show_command.ts";
import { StatusCommand } from "./status_command.ts";
import { ValidateCommand } from "./validate_command.ts";

/**
 * Creates the command-line interface with all commands registered.
 *
 * @returns The command-line interface
 *
 * @example
 * process.exitCode = await runCli(createCli(), process.argv.slice(2), context);
 */
export function createCli(): Cli {
  const cli = new Cli({
    binaryName: "celeryhollow",
    binaryLabel: "celeryhollow operator tool",
    binaryVersion: "0.1.0",
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.register(StatusCommand);
  cli.register(ExplainCommand);
  cli.register(ExplainVersionCommand);
  cli.register(DrainCommand);
  cli.register(UndrainCommand);
  cli.register(QuarantineCommand);
  cli.register(ReleaseCommand);
  cli.register(InitCommand);
  cli.register(ValidateCommand);
  cli.register(CheckCommand);
  cli.register(DiffCommand);
  cli.register(ApplyCommand);
  cli.register(HistoryCommand);
  cli.register(ShowCommand);
  cli.register(RollbackCommand);
  return cli;
}
