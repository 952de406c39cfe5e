/**
 * Entry point of the daemon program, `celeryhollowd`.
 */

import process from "node:process";
import { Cli } from "clipanion";
import { flushLogs } from "../telemetry/mod.ts";
import { DaemonCommand } from "./daemon_command.ts";

const cli = new Cli({
  binaryName: "celeryhollowd",
  binaryLabel: "celeryhollow daemon",
  binaryVersion: "0.1.0",
});
cli.register(DaemonCommand);
const exitCode = await cli.run(process.argv.slice(2));
await flushLogs();
process.exit(exitCode);
