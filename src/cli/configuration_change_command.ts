/**
 * Base class of the commands that change the configuration: options for the author
 * and the note of a change, and the wait until all daemons have activated it.
 */

import { Option } from "clipanion";
import * as t from "typanion";
import { EXIT_CODES } from "./exit_codes.ts";
import { ConfigurationCommand } from "./configuration_command.ts";
import type { CommandOutput } from "./configuration_command.ts";
import { waitUntilActive } from "./wait_until_active.ts";

const DEFAULT_WAIT_SECONDS = 30;
const MS_PER_SECOND = 1_000;

/** Base of the commands that change the configuration. */
export abstract class ConfigurationChangeCommand extends ConfigurationCommand {
  author = Option.String("--author", {
    env: "CELERYHOLLOW_AUTHOR",
    description: "Author recorded in the history; default: $USER",
  });

  note = Option.String("--note", {
    description: "Reason for the change, recorded in the history",
  });

  adminUrl = Option.String("--admin-url", {
    env: "CELERYHOLLOW_ADMIN_URL",
    description:
      "Base URL of any daemon's admin port; without it the command does not wait for activation",
  });

  fleetToken = Option.String("--fleet-token", {
    env: "CELERYHOLLOW_FLEET_TOKEN",
    description: "Shared secret of the fleet; required to wait for activation",
  });

  waitSeconds = Option.String("--wait-seconds", String(DEFAULT_WAIT_SECONDS), {
    validator: t.isNumber(),
    description:
      "Maximum time to wait until all daemons have activated the change, in seconds",
  });

  /**
   * Waits until all daemons have activated a version; returns at once if the admin URL
   * or the fleet token is not given.
   */
  protected async waitForActivation(version: number): Promise<CommandOutput> {
    const { adminUrl, fleetToken } = this;
    if (adminUrl === undefined || fleetToken === undefined) {
      return {
        json: { version, waited: false },
        lines: [
          `accepted as version ${version}; give --admin-url and --fleet-token to wait until it is active`,
        ],
      };
    }
    const activation = await waitUntilActive(
      { adminUrl, fleetToken },
      version,
      {
        timeoutMs: this.waitSeconds * MS_PER_SECOND,
        report: (line) => this.report(line),
      },
    );
    if (activation.isErr()) {
      const { message } = activation.error;
      return {
        json: { version, waited: false, error: message },
        lines: [`accepted as version ${version}; ${message}`],
        exitCode: EXIT_CODES.notActive,
      };
    }
    const report = activation.value;
    const { behind, daemonCount, inForceCount, unreachable } = report;
    const isEverywhere = daemonCount > 0 && inForceCount === daemonCount;
    return {
      json: { waited: true, isEverywhere, ...report },
      lines: [
        `accepted as version ${version}; active on ${inForceCount} of ${daemonCount} daemons`,
        ...behind.map((address) => `still on an earlier version: ${address}`),
        ...unreachable.map((address) => `unreachable: ${address}`),
      ],
      exitCode: isEverywhere ? EXIT_CODES.success : EXIT_CODES.notActive,
    };
  }
}
