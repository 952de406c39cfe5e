/**
 * The command that checks a configuration without applying it.
 */

import { Command, Option } from "clipanion";
import type { Result } from "neverthrow";
import type VError from "verror";
import { ConfigurationCommand } from "./configuration_command.ts";
import type { CommandOutput } from "./configuration_command.ts";
import { EXIT_CODE_HELP } from "./exit_codes.ts";
import { readProposedDocument } from "./read_proposed_document.ts";

/** Checks a file. */
export class ValidateCommand extends ConfigurationCommand {
  static override paths = [["validate"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "check a configuration or a proposal of init",
    details: `Names every finding at once. ${EXIT_CODE_HELP}`,
    examples: [["Check a file", "celeryhollow validate configuration.json"]],
  });

  file = Option.String();

  protected override async runWith(): Promise<Result<CommandOutput, VError>> {
    const proposed = await readProposedDocument(this.file);
    return proposed.map(({ configuration }) => {
      const counts = {
        services: configuration.services.length,
        requests: configuration.requests.length,
      };
      return {
        json: { isValid: true, ...counts },
        lines: [
          `${this.file} is valid: ${counts.services} services, ${counts.requests} requests`,
        ],
      };
    });
  }
}
