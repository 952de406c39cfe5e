/**
 * The command that changes the configuration.
 */

import { Command, Option } from "clipanion";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as t from "typanion";
import VError from "verror";
import type {
  AcceptedState,
  ConfigurationWriter,
} from "../configuration/mod.ts";
import { ConfigurationChangeCommand } from "./configuration_change_command.ts";
import type { CommandOutput } from "./configuration_command.ts";
import { describeDifferences } from "./describe_differences.ts";
import { EXIT_CODE_HELP } from "./exit_codes.ts";
import { readProposedDocument } from "./read_proposed_document.ts";

/** Changes listed to an operator whose base version is no longer the latest. */
const MAX_LISTED_CHANGES = 20;

/** Applies a file. */
export class ApplyCommand extends ConfigurationChangeCommand {
  static override paths = [["apply"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "put a configuration in force",
    details:
      "The change is accepted only on top of the version that the file or --base-version names; " +
      "if others changed the configuration since, nothing is written and their changes are listed. " +
      "Without either, the latest version is changed. " +
      `An answer of the object API that is lost is settled by reading back. ${EXIT_CODE_HELP}`,
    examples: [
      [
        "Apply a proposal of init and wait until it is in force everywhere",
        "celeryhollow apply proposal.json --admin-url http://10.1.0.5:7103 --fleet-token SECRET",
      ],
      [
        "Apply a configuration edited by hand on top of version 12",
        'celeryhollow apply configuration.json --base-version 12 --note "longer deadline"',
      ],
    ],
  });

  file = Option.String();

  baseVersion = Option.String("--base-version", {
    validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(0)]),
    description: "Version that the change builds on; 0: no configuration yet",
  });

  protected override async runWith(
    writer: ConfigurationWriter,
  ): Promise<Result<CommandOutput, VError>> {
    const proposed = await readProposedDocument(this.file);
    if (proposed.isErr()) {
      return err(proposed.error);
    }
    const accepted = await writer.readAccepted();
    if (accepted.isErr()) {
      return err(accepted.error);
    }
    const { answers, baseVersion, configuration } = proposed.value;
    const basedOn = accepted.value;
    const expectedVersion = this.baseVersion ?? baseVersion;
    if (
      expectedVersion !== undefined &&
      expectedVersion !== (basedOn?.head.version ?? 0)
    ) {
      return err(await createConflictError(writer, basedOn, expectedVersion));
    }
    const before = basedOn?.state.configuration ?? null;
    const lines = describeDifferences(before, configuration);
    lines.forEach((line) => this.report(line));
    const state = {
      configuration,
      answers: answers ?? basedOn?.state.answers ?? null,
    };
    const isUnchanged = lines.length === 0 && basedOn !== undefined &&
      JSON.stringify(state.answers) === JSON.stringify(basedOn.state.answers);
    if (isUnchanged) {
      return ok({
        json: { version: basedOn.head.version, changed: false },
        lines: [`no difference from version ${basedOn.head.version}`],
      });
    }
    const { author, note } = this;
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

async function createConflictError(
  writer: ConfigurationWriter,
  basedOn: AcceptedState | undefined,
  expectedVersion: number,
): Promise<VError> {
  const version = basedOn?.head.version ?? 0;
  const laterChanges = basedOn &&
    await writer.history.listChanges(basedOn.head, {
      aboveVersion: expectedVersion,
      limit: MAX_LISTED_CHANGES,
    });
  const changes = laterChanges?.isOk() ? laterChanges.value : [];
  const listed = changes.map((change) =>
    `version ${change.version} by ${change.author || "unknown"}${
      change.note ? ` (${change.note})` : ""
    }`
  );
  return new VError(
    { name: "ConfigurationConflict", info: { version, changes } },
    "the change builds on version %d, but version %d is accepted%s",
    expectedVersion,
    version,
    listed.length === 0 ? "" : `: ${listed.join(", ")}`,
  );
}
