/**
 * The `quarantine` and `release` commands, which list the requests that are refused
 * because they crash backend servers, and allow one of them again.
 */

import { Command, Option } from "clipanion";
import type { Suspect } from "../quarantine/mod.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { FleetCommand } from "./fleet_command.ts";
import { formatTable } from "./format_table.ts";

const MS_PER_SECOND = 1_000;

/** Lists the requests that the daemon at `--admin-url` refuses. */
export class QuarantineCommand extends FleetCommand {
  static override paths = [["quarantine"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description: "list requests that are refused because they crash servers",
    details:
      "Every daemon refuses a request under which several backend servers have ended with no clean run in between. The list names the fingerprint, the VMs and the ages of these ends. `celeryhollow explain changes` shows the same as `request-quarantined`, and `server-crash` with the ids of the requests that ran.",
    examples: [[
      "List the quarantined requests",
      "celeryhollow quarantine --admin-url http://10.1.0.5:7103",
    ]],
  });

  protected override async run(): Promise<number> {
    const response = await this.createClient().get("/v1/quarantine");
    if (response.isErr()) {
      return this.printError(response.error.message);
    }
    const suspects = response.value as readonly Suspect[];
    return this.printResult(suspects, () => formatSuspects(suspects));
  }
}

/** Allows a request again on all daemons. */
export class ReleaseCommand extends FleetCommand {
  static override paths = [["release"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description: "allow a request that was refused because it crashed servers",
    details:
      "Tells all daemons through the one at --admin-url. If the request still crashes servers, it is refused again after three of them have ended. Exits with code 1 if the request was not quarantined.",
    examples: [[
      "Allow a request after its cause has been repaired",
      "celeryhollow release tSDG2h_9cZxI --admin-url http://10.1.0.5:7103",
    ]],
  });

  fingerprint = Option.String({ name: "FINGERPRINT" });

  protected override async run(): Promise<number> {
    const { fingerprint } = this;
    const path = `/v1/quarantine/${encodeURIComponent(fingerprint)}/release`;
    const response = await this.createClient().post(path);
    if (response.isErr()) {
      return this.printError(response.error.message);
    }
    const { isReleased } = response.value as { isReleased: boolean };
    this.printResult(
      response.value,
      () => `${fingerprint}: ${isReleased ? "released" : "not quarantined"}`,
    );
    return isReleased ? EXIT_CODES.success : EXIT_CODES.failure;
  }
}

function formatSuspects(suspects: readonly Suspect[]): string {
  if (suspects.length === 0) {
    return "no request is quarantined";
  }
  const nowMs = Date.now();
  return formatTable(
    ["fingerprint", "service", "servers ended", "VMs", "seconds ago"],
    suspects.map(({ fingerprint, crashes }) => [
      fingerprint,
      crashes.at(-1)?.service ?? "",
      String(crashes.length),
      crashes.map(({ vmAddress }) => vmAddress).join(" "),
      crashes.map(({ atMs }) => Math.round((nowMs - atMs) / MS_PER_SECOND))
        .join(" "),
    ]),
  );
}
