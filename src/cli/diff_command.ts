/**
 * The command that compares a file with what is accepted.
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

/** Shows what applying a file would change. */
export class DiffCommand extends ConfigurationCommand {
  static override paths = [["diff"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "show what applying a file would change",
    details: EXIT_CODE_HELP,
    examples: [
      ["Compare with what is accepted", "celeryhollow diff configuration.json"],
      [
        "Let a script see whether anything differs",
        "celeryhollow diff configuration.json --exit-code",
      ],
    ],
  });

  file = Option.String();

  exitCode = Option.Boolean("--exit-code", false, {
    description: "Exit with 7 if anything differs",
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
        ? [`no difference from version ${version}`]
        : [`changes of version ${version}:`, ...lines],
      exitCode,
    });
  }
}
