/**
 * The `drain` and `undrain` commands, which take a backend server out of service
 * and put it back.
 */

import { Command } from "clipanion";
import { FleetCommand } from "./fleet_command.ts";

/** Drains the backend server of the daemon at `--admin-url`. */
export class DrainCommand extends FleetCommand {
  static override paths = [["drain"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description: "drain a daemon's backend server: send it no new requests",
    details:
      "Requests in progress are completed. `celeryhollow status` shows the backend server as leaving.",
    examples: [[
      "Drain a backend server before maintenance of its VM",
      "celeryhollow drain --admin-url http://10.1.0.5:7103",
    ]],
  });

  protected override async run(): Promise<number> {
    return await this.postAction("/v1/drain");
  }

  /** Posts to a path and prints the resulting state of the backend server. */
  protected async postAction(path: string): Promise<number> {
    const response = await this.createClient().post(path);
    if (response.isErr()) {
      return this.printError(response.error.message);
    }
    const { state } = response.value as { state: string };
    return this.printResult(response.value, () => `backend server: ${state}`);
  }
}

/** Cancels the drain of the backend server of the daemon at `--admin-url`. */
export class UndrainCommand extends DrainCommand {
  static override paths = [["undrain"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description: "cancel a drain",
    examples: [[
      "Put a backend server back into service after maintenance of its VM",
      "celeryhollow undrain --admin-url http://10.1.0.5:7103",
    ]],
  });

  protected override async run(): Promise<number> {
    return await this.postAction("/v1/undrain");
  }
}
