/**
 * The `status` command, which prints the state of all daemons of a fleet.
 */

import { Command } from "clipanion";
import type { DaemonStatus } from "./daemon_status.ts";
import { FleetCommand } from "./fleet_command.ts";
import { formatDuration } from "./format_duration.ts";
import { formatTable } from "./format_table.ts";
import { queryFleet } from "./query_fleet.ts";
import type { DaemonStatusResult } from "./query_fleet.ts";
import { summarizeRefusals } from "./summarize_refusals.ts";
import type { RefusalSummary } from "./summarize_refusals.ts";

/** A member that responds, but that some daemons consider dead. */
interface Disagreement {
  readonly member: string;
  readonly countedDeadBy: number;
  readonly countedAliveBy: number;
}

/**
 * Prints daemons, services, limits, active and refused configuration versions and
 * disagreements about which members are alive.
 */
export class StatusCommand extends FleetCommand {
  static override paths = [["status"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description:
      "show daemons, limits, active and refused configuration versions and leaving backend servers",
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
      refusedVersions: summarizeRefusals(statuses),
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
  readonly refusedVersions: readonly RefusalSummary[];
  readonly disagreements: readonly Disagreement[];
}

function formatSummary(
  { versionsInForce, refusedVersions, disagreements }: Summary,
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
        "store",
        "running",
        "queued",
        "limit",
      ],
      statuses.map(formatRow).sort(),
    ),
    "",
    `active configuration versions: ${versions.join(", ")}`,
    ...refusedVersions.map(({ version, reason, entry, ...refusal }) =>
      `refused configuration version: ${version} on ${refusal.daemons.length} of ${statuses.length} daemons for ${
        formatDuration(refusal.refusedForMs)
      } (${reason}): ${entry}`
    ),
    ...formatBehind(statuses),
    ...formatNotReady(statuses),
    ...formatAllowances(statuses),
    ...unreachable.map(({ adminUrl }) => `unreachable: ${adminUrl}`),
    ...disagreements.map(({ member, countedDeadBy, countedAliveBy }) =>
      `possible partition: ${member} responds, but ${countedDeadBy} daemons consider it dead and ${countedAliveBy} alive`
    ),
  ];
  return lines.join("\n");
}

/** Names the daemons whose active version is below that of the store. */
function formatBehind(statuses: readonly DaemonStatus[]): string[] {
  const behind = statuses.flatMap(({ configuration }) =>
    configuration && configuration.behindMs > 0 ? [configuration.behindMs] : []
  );
  return behind.length === 0 ? [] : [
    `below the store's version: ${behind.length} daemons, for up to ${
      formatDuration(Math.max(...behind))
    }`,
  ];
}

/** Names each daemon that is not ready, with the reason. */
function formatNotReady(statuses: readonly DaemonStatus[]): string[] {
  return statuses.flatMap(({ self, notReady }) =>
    notReady
      ? [
        `not ready: ${self.address}, ${notReady.reason}${
          notReady.version > 0 ? ` ${notReady.version}` : ""
        }`,
      ]
      : []
  );
}

/** Formats the holders of shares, and each account's requests summed over all daemons. */
function formatAllowances(statuses: readonly DaemonStatus[]): string[] {
  const holders = statuses.flatMap(({ self, allowances }) =>
    (allowances?.held ?? []).map(({ shares, fraction, accounts, borrowers }) =>
      `allowances: ${self.address} holds ${
        (fraction * 100).toFixed(0)
      }% from ${shares} daemons, for ${accounts} accounts and up to ${borrowers} borrowers each`
    )
  );
  const rows = new Map<string, { granted: number; refused: number }>();
  for (const { allowances } of statuses) {
    for (const { name, granted, refused } of allowances?.accounts ?? []) {
      const sum = rows.get(name) ?? { granted: 0, refused: 0 };
      rows.set(name, {
        granted: sum.granted + granted,
        refused: sum.refused + refused,
      });
    }
  }
  const table = formatTable(
    ["account", "granted", "refused"],
    [...rows].sort(([, one], [, other]) => other.refused - one.refused)
      .map(([name, { granted, refused }]) => [
        name,
        String(granted),
        String(refused),
      ]),
  );
  return rows.size > 0 ? [...holders, table] : holders;
}

function formatRow(status: DaemonStatus): string[] {
  const { self, load, isReady, configurationVersion, backend } = status;
  const storeVersion = status.configuration?.storeVersion ?? 0;
  const { announcement, state } = backend;
  return [
    self.address,
    self.failureDomain,
    announcement?.service ?? "-",
    self.state === "alive" ? state : self.state,
    isReady ? "yes" : "no",
    String(configurationVersion),
    storeVersion > 0 ? String(storeVersion) : "-",
    String(load.inFlight),
    String(load.queued),
    load.limit.toFixed(0),
  ];
}
