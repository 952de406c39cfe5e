/**
 * Base class of the commands that send requests to the daemons of a fleet: options
 * for the admin API and output as text or JSON.
 */

import { Command, Option } from "clipanion";
import type { BaseContext } from "clipanion";
import { AdminClient } from "./admin_client.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Base class of the commands that send requests to daemons. */
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
    const problems = [
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
    if (problems.length > 0) {
      problems.forEach((problem) =>
        this.showProgress(`celeryhollow: ${problem}`)
      );
      return EXIT_CODES.usageError;
    }
    return await this.run();
  }

  /** Runs the command after its options were checked; returns the exit code. */
  protected abstract run(): Promise<number>;

  /** Creates a client for the daemon at `--admin-url`. */
  protected createClient(): AdminClient {
    const { adminUrl, fleetToken } = this;
    return new AdminClient({ adminUrl, fleetToken });
  }

  /** Prints a progress message to standard error. */
  protected showProgress(text: string): void {
    this.context.stderr.write(`${text}\n`);
  }

  /** Prints a result to standard output; returns the exit code for success. */
  protected printResult(value: unknown, text: () => string): number {
    const output = this.isJson ? JSON.stringify(value, null, 2) : text();
    this.context.stdout.write(`${output}\n`);
    return EXIT_CODES.success;
  }

  /** Prints an error to standard error; returns the exit code for failure. */
  protected printError(message: string): number {
    this.context.stderr.write(`celeryhollow: ${message}\n`);
    return EXIT_CODES.failure;
  }
}
