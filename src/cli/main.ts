/**
 * Entry point of `celeryhollow`.
 */

import process from "node:process";
import { Builtins, Cli } from "clipanion";
import { DrainCommand, UndrainCommand } from "./drain_command.ts";
import { ExplainCommand } from "./explain_command.ts";
import { StatusCommand } from "./status_command.ts";

const cli = new Cli({
  binaryName: "celeryhollow",
  binaryLabel: "celeryhollow operator tool",
  binaryVersion: "0.1.0",
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(StatusCommand);
cli.register(ExplainCommand);
cli.register(DrainCommand);
cli.register(UndrainCommand);
process.exitCode = await cli.run(process.argv.slice(2));
