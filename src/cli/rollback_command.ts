/**
 * The `rollback` command, which restores the configuration of an earlier version.
 */

import { Command, Option } from "clipanion";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as t from "typanion";
import type VError from "verror";
import type { ConfigurationWriter } from "../configuration/mod.ts";
import { ConfigurationChangeCommand } from "./configuration_change_command.ts";
import { requireAcceptedState } from "./configuration_command.ts";
import type { CommandOutput } from "./configuration_command.ts";
import { describeDifferences } from "./describe_differences.ts";
import { EXIT_CODE_HELP } from "./exit_codes.ts";

/** Submits the state of an earlier version as a new version. */
export class RollbackCommand extends ConfigurationChangeCommand {
  static override paths = [["rollback"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "restore the configuration of an earlier version",
    details:
      "Version numbers never decrease: the earlier configuration and its answers become a new version. " +
      EXIT_CODE_HELP,
    examples: [[
      "Restore the configuration of version 11",
      "celeryhollow rollback 11",
    ]],
  });

  version = Option.String({
    validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]),
  });

  protected override async runWith(
    writer: ConfigurationWriter,
  ): Promise<Result<CommandOutput, VError>> {
    const accepted = await requireAcceptedState(writer);
    if (accepted.isErr()) {
      return err(accepted.error);
    }
    const basedOn = accepted.value;
    const earlier = await writer.history.readVersion(
      basedOn.head,
      this.version,
    );
    if (earlier.isErr()) {
      return err(earlier.error);
    }
    const { answers, configuration } = earlier.value;
    describeDifferences(basedOn.state.configuration, configuration).forEach((
      line,
    ) => this.report(line));
    const note = this.note ?? `rollback to version ${this.version}`;
    const state = { configuration, answers };
    const { author } = this;
    const version = await this.submit(writer, state, {
      basedOn,
      author,
      note,
    });
    return version.isErr() ? err(version.error) : ok(
      await this.waitForActivation(version.value),
    );
  }
}
