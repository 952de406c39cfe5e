/**
 * The `status` command, which prints the state of all daemons of a fleet.
 */

import { Command } from "clipanion";
import type { DaemonStatus } from "./daemon_status.ts";
import { FleetCommand } from "./fleet_command.ts";
import { formatTable } from "./format_table.ts";
import { queryFleet } from "./query_fleet.ts";
import type { DaemonStatusResult } from "./query_fleet.ts";

/** A member that responds, but that some daemons consider dead. */
interface Disagreement {
  readonly member: string;
  readonly countedDeadBy: number;
  readonly countedAliveBy: number;
}

/**
 * Prints daemons, services, limits, active configuration versions and disagreements
 * about which members are alive.
 */
export class StatusCommand extends FleetCommand {
  static override paths = [["status"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description:
      "show daemons, limits, active configuration versions and leaving backend servers",
    details:
      "Queries the daemon at --admin-url, then every member that it lists, and so on until no new member is found. Exits with code 1 if the first daemon cannot be reached.",
    examples: [
      [
        "Show the status of the whole fleet",
        "celeryhollow status --admin-url http://10.1.0.5:7103 --fleet-token SECRET",
      ],
      [
        "Print JSON for a script, with the options set by environment variables",
        "celeryhollow status --json",
      ],
    ],
  });

  protected override async run(): Promise<number> {
    const fleet = await queryFleet(this);
    if (fleet.isErr()) {
      return this.printError(fleet.error.message);
    }
    const statuses = fleet.value.flatMap(({ status }) =>
      status.isOk() ? [status.value] : []
    );
    const unreachable = fleet.value.filter(({ status }) => status.isErr());
    const summary = {
      daemons: statuses.map(({ members: _, ...own }) => own),
      unreachable: unreachable.map(({ adminUrl }) => adminUrl),
      versionsInForce: countVersions(statuses),
      disagreements: listDisagreements(statuses),
    };
    return this.printResult(
      summary,
      () => formatSummary(summary, statuses, unreachable),
    );
  }
}

function countVersions(statuses: readonly DaemonStatus[]) {
  const counts: Record<string, number> = {};
  for (const { configurationVersion } of statuses) {
    counts[configurationVersion] = (counts[configurationVersion] ?? 0) + 1;
  }
  return counts;
}

function listDisagreements(statuses: readonly DaemonStatus[]): Disagreement[] {
  return statuses.flatMap(({ self }) => {
    const views = statuses.flatMap(({ members }) =>
      members.filter(({ incarnation }) => incarnation === self.incarnation)
    );
    const countedDeadBy = views.filter(({ state }) => state === "dead").length;
    const countedAliveBy = views.length - countedDeadBy;
    return countedDeadBy > 0
      ? [{ member: self.incarnation, countedDeadBy, countedAliveBy }]
      : [];
  });
}

interface Summary {
  readonly versionsInForce: Readonly<Record<string, number>>;
  readonly disagreements: readonly Disagreement[];
}

function formatSummary(
  { versionsInForce, disagreements }: Summary,
  statuses: readonly DaemonStatus[],
  unreachable: readonly DaemonStatusResult[],
): string {
  const versions = Object.entries(versionsInForce)
    .map(([version, count]) => `${version} on ${count} daemons`);
  const lines = [
    formatTable(
      [
        "address",
        "domain",
        "service",
        "state",
        "ready",
        "version",
        "running",
        "queued",
        "limit",
      ],
      statuses.map(formatRow).sort(),
    ),
    "",
    `active configuration versions: ${versions.join(", ")}`,
    ...unreachable.map(({ adminUrl }) => `unreachable: ${adminUrl}`),
    ...disagreements.map(({ member, countedDeadBy, countedAliveBy }) =>
      `possible partition: ${member} responds, but ${countedDeadBy} daemons consider it dead and ${countedAliveBy} alive`
    ),
  ];
  return lines.join("\n");
}

function formatRow(status: DaemonStatus): string[] {
  const { self, load, isReady, configurationVersion, backend } = status;
  const { announcement, state } = backend;
  return [
    self.address,
    self.failureDomain,
    announcement?.service ?? "-",
    self.state === "alive" ? state : self.state,
    isReady ? "yes" : "no",
    String(configurationVersion),
    String(load.inFlight),
    String(load.queued),
    load.limit.toFixed(0),
  ];
}
