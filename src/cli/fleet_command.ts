/**
 * What commands that ask the daemons of a fleet have in common.
 */

import { Command, Option } from "clipanion";
import type { BaseContext } from "clipanion";
import { AdminClient } from "./admin_client.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** A command that asks daemons. */
export abstract class FleetCommand extends Command<BaseContext> {
  adminUrl = Option.String("--admin-url", "", {
    env: "CELERYHOLLOW_ADMIN_URL",
    description: "Base URL of any daemon's admin port (CELERYHOLLOW_ADMIN_URL)",
  });

  fleetToken = Option.String("--fleet-token", "", {
    env: "CELERYHOLLOW_FLEET_TOKEN",
    description: "Shared secret of the fleet (CELERYHOLLOW_FLEET_TOKEN)",
  });

  isJson = Option.Boolean("--json", false, {
    description: "Print one JSON document instead of tables",
  });

  override async execute(): Promise<number> {
    const missing = [
      ...this.adminUrl === ""
        ? ["--admin-url (CELERYHOLLOW_ADMIN_URL) is required"]
        : [],
      ...this.fleetToken === ""
        ? ["--fleet-token (CELERYHOLLOW_FLEET_TOKEN) is required"]
        : [],
      ...this.adminUrl !== "" && !URL.canParse(this.adminUrl)
        ? [`--admin-url ${this.adminUrl} is not a URL`]
        : [],
    ];
    if (missing.length > 0) {
      missing.forEach((problem) =>
        this.showProgress(`celeryhollow: ${problem}`)
      );
      return EXIT_CODES.usageError;
    }
    return await this.run();
  }

  /** Does what the command is for. */
  protected abstract run(): Promise<number>;

  /** The daemon that the command was pointed at. */
  protected createClient(): AdminClient {
    const { adminUrl, fleetToken } = this;
    return new AdminClient({ adminUrl, fleetToken });
  }

  /** Says on standard error what is going on. */
  protected showProgress(text: string): void {
    this.context.stderr.write(`${text}\n`);
  }

  /** Prints a result and ends well. */
  protected printResult(value: unknown, text: () => string): number {
    const output = this.isJson ? JSON.stringify(value, null, 2) : text();
    this.context.stdout.write(`${output}\n`);
    return EXIT_CODES.success;
  }

  /** Says what went wrong and ends with a failure. */
  protected printError(message: string): number {
    this.context.stderr.write(`celeryhollow: ${message}\n`);
    return EXIT_CODES.failure;
  }
}
