/**
 * The command-line interface of `celeryhollowd`.
 */

import process from "node:process";
import { Command, Option } from "clipanion";
import { SETTING_DEFINITIONS } from "../generated/setting_definitions.ts";
import type { DaemonSettings } from "../generated/types.ts";
import { Daemon } from "./daemon.ts";
import { readSettings, toFlagName, toVariableName } from "./read_settings.ts";

/** Exit codes of the daemon. */
export const EXIT_CODES = {
  stopped: 0,
  failed: 1,
  settingsInvalid: 2,
} as const;

const REDACTED = "(redacted)";

/** Runs one daemon until it is stopped. */
export class DaemonCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: "run the overload control daemon of one backend server VM",
    details:
      "Each flag can also be given as an environment variable; flags take precedence over variables. " +
      "SIGTERM and SIGINT stop the daemon gracefully.",
    examples: [[
      "Run a daemon",
      "celeryhollowd --address 10.1.0.5 --region vlaanderen --failure-domain gent-a --fleet-token SECRET",
    ]],
  });

  printSettings = Option.Boolean("--print-settings", false, {
    description: "Print the settings with secrets redacted, and exit",
  });

  constructor() {
    super();
    for (
      const { name, description, default: value, allowed }
        of SETTING_DEFINITIONS
    ) {
      const notes = [
        description,
        allowed?.join(" | ") ?? "",
        toVariableName(name),
        value === undefined ? "" : `default ${value}`,
      ];
      const option = Option.String(toFlagName(name), {
        description: notes.filter((note) => note !== "").join("; "),
      });
      Object.assign(this, { [name]: option });
    }
  }

  override async execute(): Promise<number> {
    const flags = this as unknown as Record<string, string | undefined>;
    const settings = readSettings({ flags, environment: process.env });
    if (settings.isErr()) {
      this.context.stderr.write(
        `celeryhollowd: invalid settings:\n${settings.error.message}\n`,
      );
      return EXIT_CODES.settingsInvalid;
    }
    if (this.printSettings) {
      this.context.stdout.write(
        `${
          JSON.stringify({ ...settings.value, fleetToken: REDACTED }, null, 2)
        }\n`,
      );
      return EXIT_CODES.stopped;
    }
    return await runDaemon(settings.value);
  }
}

async function runDaemon(settings: DaemonSettings): Promise<number> {
  const daemon = new Daemon(settings);
  // The handler stays: without one, a second SIGTERM would end the process at once.
  process.on("SIGTERM", () => void daemon.stop());
  process.once("SIGINT", () => void daemon.stop());
  try {
    await daemon.start();
  } catch (cause) {
    daemon.environment.log.error(
      { error: (cause as Error).message },
      "daemon-start-failed",
    );
    return EXIT_CODES.failed;
  }
  await daemon.stopped;
  return EXIT_CODES.stopped;
}
