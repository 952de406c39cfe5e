/**
 * The `check` command, which checks a configuration before it is sent: errors,
 * questionable entries, and what differs from the active version.
 */

import { Command, Option } from "clipanion";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type VError from "verror";
import { findQuestionableEntries } from "../configuration/mod.ts";
import type {
  ConfigurationWriter,
  QuestionableEntry,
} from "../configuration/mod.ts";
import type { Configuration } from "../generated/types.ts";
import { AdminClient } from "./admin_client.ts";
import { ConfigurationCommand } from "./configuration_command.ts";
import type { CommandOutput } from "./configuration_command.ts";
import type { DaemonStatus } from "./daemon_status.ts";
import { describeDifferences } from "./describe_differences.ts";
import { EXIT_CODE_HELP, EXIT_CODES } from "./exit_codes.ts";
import { readProposedDocument } from "./read_proposed_document.ts";

/** A configuration and its version. */
export interface VersionedDocument {
  readonly version: number;
  readonly configuration: Configuration | null;
}

/** Checks a configuration file. */
export class CheckCommand extends ConfigurationCommand {
  static override paths = [["check"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description:
      "check a configuration for errors, questionable entries and differences",
    details:
      `Lists entries that can never match, limits that contradict each other, and what differs from the active version. With --admin-url, it also lists requests whose services have too few instances. ${EXIT_CODE_HELP}`,
    examples: [
      [
        "Check a file against the active version",
        "celeryhollow check configuration.json",
      ],
      [
        "Check a file alone, for a script",
        "celeryhollow check configuration.json --offline --json",
      ],
    ],
  });

  file = Option.String();

  offline = Option.Boolean("--offline", false, {
    description: "Do not compare with the active version",
  });

  adminUrl = Option.String("--admin-url", "", {
    env: "CELERYHOLLOW_ADMIN_URL",
    description: "Base URL of any daemon's admin port, to count instances",
  });

  fleetToken = Option.String("--fleet-token", "", {
    env: "CELERYHOLLOW_FLEET_TOKEN",
    description: "Shared secret of the fleet (CELERYHOLLOW_FLEET_TOKEN)",
  });

  protected override async runWith(
    writer: ConfigurationWriter,
  ): Promise<Result<CommandOutput, VError>> {
    const proposed = await this.readProposed();
    if (proposed.isErr()) {
      return err(proposed.error);
    }
    const active = this.offline ? ok(undefined) : await this.readActive(writer);
    if (active.isErr()) {
      return err(active.error);
    }
    const counts = this.offline || this.adminUrl === ""
      ? ok(undefined)
      : await this.#countInstances();
    return counts.map((instanceCounts) =>
      this.#createOutput(proposed.value, active.value, instanceCounts)
    );
  }

  /** Reads and validates the file. */
  protected async readProposed(): Promise<Result<Configuration, VError>> {
    const proposed = await readProposedDocument(this.file);
    return proposed.map(({ configuration }) => configuration);
  }

  /** Reads the active configuration from the object API. */
  protected async readActive(
    writer: ConfigurationWriter,
  ): Promise<Result<VersionedDocument, VError>> {
    const accepted = await writer.readAccepted();
    return accepted.map((state) => ({
      version: state?.head.version ?? 0,
      configuration: state?.state.configuration ?? null,
    }));
  }

  /** Finds questionable entries; `instanceCounts` gives the number of instances by service, if known. */
  protected findQuestionable(
    configuration: Configuration,
    instanceCounts: ReadonlyMap<string, number> | undefined,
  ): QuestionableEntry[] {
    return findQuestionableEntries(configuration, instanceCounts);
  }

  async #countInstances(): Promise<
    Result<ReadonlyMap<string, number> | undefined, VError>
  > {
    const { adminUrl, fleetToken } = this;
    const status = await new AdminClient({ adminUrl, fleetToken })
      .get("/v1/status");
    return status.map((body) => {
      const { self, members } = body as DaemonStatus;
      const services = new Map(
        [...members, self].filter(({ state }) => state === "alive")
          .map(({ incarnation, service }) => [incarnation, service]),
      );
      const counts = new Map<string, number>();
      for (const service of services.values()) {
        counts.set(service, (counts.get(service) ?? 0) + 1);
      }
      return counts;
    });
  }

  #createOutput(
    configuration: Configuration,
    active: VersionedDocument | undefined,
    instanceCounts: ReadonlyMap<string, number> | undefined,
  ): CommandOutput {
    const questionable = this.findQuestionable(configuration, instanceCounts);
    const differences = active
      ? describeDifferences(active.configuration, configuration)
      : undefined;
    return {
      json: {
        isValid: true,
        questionable,
        ...active && { activeVersion: active.version, differences },
      },
      lines: [
        ...questionable.length === 0
          ? [`${this.file} is valid, and nothing in it is questionable`]
          : [
            `${this.file} is valid; questionable entries:`,
            ...questionable.map(({ kind, message }) => `  ${kind}: ${message}`),
          ],
        ...active && differences
          ? [
            differences.length === 0
              ? `no changes compared with version ${active.version}`
              : `changes compared with version ${active.version}:`,
            ...differences,
          ]
          : [],
      ],
      exitCode: questionable.length === 0
        ? EXIT_CODES.success
        : EXIT_CODES.questionable,
    };
  }
}
