/**
 * The `history` command, which lists accepted changes.
 */

import { Command, Option } from "clipanion";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as t from "typanion";
import type VError from "verror";
import type { ConfigurationWriter } from "../configuration/mod.ts";
import type { ConfigurationChange } from "../generated/types.ts";
import {
  ConfigurationCommand,
  requireAcceptedState,
} from "./configuration_command.ts";
import type { CommandOutput } from "./configuration_command.ts";
import { EXIT_CODE_HELP } from "./exit_codes.ts";

/** Lists accepted changes, newest first. */
export class HistoryCommand extends ConfigurationCommand {
  static override paths = [["history"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "list accepted changes, newest first",
    details:
      `The object API keeps the last few hundred changes. ${EXIT_CODE_HELP}`,
    examples: [
      ["List the latest changes", "celeryhollow history"],
      [
        "Look for a change whose outcome is unknown",
        "celeryhollow history --limit 200 --change 7e0c...",
      ],
    ],
  });

  limit = Option.String("--limit", "20", {
    validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]),
    description: "Maximum number of changes to list",
  });

  change = Option.String("--change", {
    description: "Show only the change with this id",
  });

  protected override async runWith(
    writer: ConfigurationWriter,
  ): Promise<Result<CommandOutput, VError>> {
    const accepted = await requireAcceptedState(writer);
    if (accepted.isErr()) {
      return err(accepted.error);
    }
    const listed = await writer.history.listChanges(accepted.value.head, {
      aboveVersion: 0,
      limit: this.limit,
    });
    if (listed.isErr()) {
      return err(listed.error);
    }
    const changes = listed.value.filter(({ changeId }) =>
      this.change === undefined || changeId === this.change
    );
    return ok({ json: { changes }, lines: changes.map(describeChange) });
  }
}

function describeChange(change: ConfigurationChange): string {
  const { atMs, author, changeId, note, version } = change;
  return [
    String(version).padStart(6),
    new Date(atMs).toISOString(),
    changeId,
    author || "-",
    note,
  ].join("  ").trimEnd();
}
