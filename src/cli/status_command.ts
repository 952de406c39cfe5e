/**
 * The command that shows what a daemon knows.
 */

import { Command, Option } from "clipanion";
import { AdminClient } from "./admin_client.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Shows the status of a daemon. */
export class StatusCommand extends Command {
  static override paths = [["status"]];

  static override usage = Command.Usage({
    description: "show what a daemon knows of itself and the fleet",
    examples: [[
      "Ask one daemon",
      "celeryhollow status --admin-url http://10.1.0.5:7103 --fleet-token SECRET",
    ]],
  });

  adminUrl = Option.String("--admin-url", {
    required: true,
    env: "CELERYHOLLOW_ADMIN_URL",
    description: "Base URL of a daemon's admin port",
  });

  fleetToken = Option.String("--fleet-token", {
    required: true,
    env: "CELERYHOLLOW_FLEET_TOKEN",
    description: "Shared secret of the fleet",
  });

  override async execute(): Promise<number> {
    const status = await new AdminClient(this).get("/v1/status");
    if (status.isErr()) {
      this.context.stderr.write(`celeryhollow: ${status.error.message}\n`);
      return EXIT_CODES.failed;
    }
    this.context.stdout.write(`${JSON.stringify(status.value, null, 2)}\n`);
    return EXIT_CODES.done;
  }
}
