/**
 * The `show` command, which prints an accepted configuration.
 */

import { Command, Option } from "clipanion";
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import * as t from "typanion";
import type VError from "verror";
import type { ConfigurationWriter } from "../configuration/mod.ts";
import {
  ConfigurationCommand,
  requireAcceptedState,
} from "./configuration_command.ts";
import type { CommandOutput } from "./configuration_command.ts";
import { EXIT_CODE_HELP } from "./exit_codes.ts";

/** Prints a configuration in the format that `apply` reads. */
export class ShowCommand extends ConfigurationCommand {
  static override paths = [["show"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "print the accepted configuration, for manual editing",
    details:
      `With --json, the version and the answers are printed as well. ${EXIT_CODE_HELP}`,
    examples: [
      [
        "Write the configuration to a file",
        "celeryhollow show > configuration.json",
      ],
      [
        "Print the configuration of version 11",
        "celeryhollow show --version 11",
      ],
    ],
  });

  version = Option.String("--version", {
    validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]),
    description: "Version to print; default: the latest version",
  });

  protected override async runWith(
    writer: ConfigurationWriter,
  ): Promise<Result<CommandOutput, VError>> {
    const accepted = await requireAcceptedState(writer);
    if (accepted.isErr()) {
      return err(accepted.error);
    }
    const { head } = accepted.value;
    const version = this.version ?? head.version;
    const state = await writer.history.readVersion(head, version);
    return state.map(({ answers, configuration }) => ({
      json: { version, configuration, answers },
      lines: [JSON.stringify(configuration, null, 2)],
    }));
  }
}
