/**
 * The `diff` command, which compares a file with the accepted configuration.
 */

import { Command, Option } from "clipanion";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type VError from "verror";
import { createDocumentPatch } from "../configuration/mod.ts";
import type { ConfigurationWriter } from "../configuration/mod.ts";
import { ConfigurationCommand } from "./configuration_command.ts";
import type { CommandOutput } from "./configuration_command.ts";
import { describeDifferences } from "./describe_differences.ts";
import { EXIT_CODE_HELP, EXIT_CODES } from "./exit_codes.ts";
import { readProposedDocument } from "./read_proposed_document.ts";

/** Prints the changes that applying a file would make. */
export class DiffCommand extends ConfigurationCommand {
  static override paths = [["diff"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "show the changes that applying a file would make",
    details: EXIT_CODE_HELP,
    examples: [
      [
        "Compare with the accepted configuration",
        "celeryhollow diff configuration.json",
      ],
      [
        "Report differences to a script by the exit code",
        "celeryhollow diff configuration.json --exit-code",
      ],
    ],
  });

  file = Option.String();

  exitCode = Option.Boolean("--exit-code", false, {
    description: "Exit with code 7 if there are differences",
  });

  protected override async runWith(
    writer: ConfigurationWriter,
  ): Promise<Result<CommandOutput, VError>> {
    const proposed = await readProposedDocument(this.file);
    const accepted = await writer.readAccepted();
    if (proposed.isErr() || accepted.isErr()) {
      return err(
        proposed.isErr() ? proposed.error : accepted._unsafeUnwrapErr(),
      );
    }
    const before = accepted.value?.state.configuration ?? null;
    const version = accepted.value?.head.version ?? 0;
    const lines = describeDifferences(before, proposed.value.configuration);
    const patch = createDocumentPatch(before, proposed.value.configuration);
    const exitCode = this.exitCode && lines.length > 0
      ? EXIT_CODES.differs
      : EXIT_CODES.success;
    return ok({
      json: { version, patch },
      lines: lines.length === 0
        ? [`no changes compared with version ${version}`]
        : [`changes compared with version ${version}:`, ...lines],
      exitCode,
    });
  }
}
