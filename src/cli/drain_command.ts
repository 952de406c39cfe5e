/**
 * The commands that take a backend server out of service and back.
 */

import { Command } from "clipanion";
import { FleetCommand } from "./fleet_command.ts";

/** Gives the backend server at --admin-url no new work. */
export class DrainCommand extends FleetCommand {
  static override paths = [["drain"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description: "give a daemon's backend server no new work",
    details:
      "Requests in progress finish. `celeryhollow status` shows the backend server as leaving.",
    examples: [[
      "Before maintenance of one VM",
      "celeryhollow drain --admin-url http://10.1.0.5:7103",
    ]],
  });

  protected override async run(): Promise<number> {
    return await this.postAction("/v1/drain");
  }

  /** Requests the action and shows the state that it led to. */
  protected async postAction(path: string): Promise<number> {
    const response = await this.createClient().post(path);
    if (response.isErr()) {
      return this.printError(response.error.message);
    }
    const { state } = response.value as { state: string };
    return this.printResult(response.value, () => `backend server: ${state}`);
  }
}

/** Takes a drain back. */
export class UndrainCommand extends DrainCommand {
  static override paths = [["undrain"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description: "take a drain back",
    examples: [[
      "After maintenance of one VM",
      "celeryhollow undrain --admin-url http://10.1.0.5:7103",
    ]],
  });

  protected override async run(): Promise<number> {
    return await this.postAction("/v1/undrain");
  }
}
