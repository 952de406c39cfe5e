/**
 * Entry point of the operator tool `celeryhollow`.
 */

import process from "node:process";
import { Cli } from "clipanion";
import { createCli } from "./create_cli.ts";
import { runCli } from "./run_cli.ts";

process.exitCode = await runCli(
  createCli(),
  process.argv.slice(2),
  Cli.defaultContext,
);
