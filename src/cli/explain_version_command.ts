/**
 * The `explain version` command, which says at which daemons a configuration version
 * is active, refused or unknown.
 */

import { Command, Option } from "clipanion";
import { DECISIONS } from "../telemetry/mod.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { FleetCommand } from "./fleet_command.ts";
import { formatTable } from "./format_table.ts";
import { judgeVersion } from "./judge_version.ts";
import type { VersionJudgement } from "./judge_version.ts";
import { queryFleet } from "./query_fleet.ts";
import type { DaemonStatusResult } from "./query_fleet.ts";
import { readJournal } from "./read_journal.ts";
import type { DaemonJournalEntry } from "./read_journal.ts";
import { summarizeRefusals } from "./summarize_refusals.ts";

/** A version at one daemon, with the address of the daemon. */
interface DaemonJudgement extends Omit<VersionJudgement, "state"> {
  readonly daemon: string;
  readonly failureDomain: string;
  readonly activeVersion: number | null;
  /** State of the version, or `unreachable`. */
  readonly state: string;
}

const UNREACHABLE = {
  ...{ failureDomain: "-", activeVersion: null, state: "unreachable" },
  ...{ sinceMs: 0, reason: "", entry: "" },
} as const;

/** Explains where a configuration version is active, refused or unknown. */
export class ExplainVersionCommand extends FleetCommand {
  static override paths = [["explain", "version"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description: "show where a configuration version is active or refused",
    details:
      "Reads the status and journal of every daemon. For each one it prints whether the version is active, refused (with the reason and the invalid entry), replaced by a later one, skipped, read from the store only, or unknown, and since when. Without a version it takes the highest one that a daemon refuses, or else the highest active one.",
    examples: [
      ["Why is version 22 not active?", "celeryhollow explain version 22"],
      ["What is the fleet refusing?", "celeryhollow explain version"],
    ],
  });

  version = Option.String({ name: "VERSION", required: false });

  protected override async run(): Promise<number> {
    if (this.version !== undefined && !/^r?\d{1,15}$/.test(this.version)) {
      this.showProgress(
        `celeryhollow: ${this.version} is not a configuration version`,
      );
      return EXIT_CODES.usageError;
    }
    const fleet = await queryFleet(this);
    if (fleet.isErr()) {
      return this.printError(fleet.error.message);
    }
    const version = this.version === undefined
      ? chooseVersion(fleet.value)
      : Number(this.version.replace("r", ""));
    this.showProgress(`reading the journals of ${fleet.value.length} daemons`);
    const daemons = await Promise.all(
      fleet.value.map((daemon) => this.#judge(version, daemon)),
    );
    daemons.sort((one, other) => one.daemon < other.daemon ? -1 : 1);
    return this.printResult(
      { version, daemons },
      () => format(version, daemons),
    );
  }

  async #judge(
    version: number,
    { adminUrl, status }: DaemonStatusResult,
  ): Promise<DaemonJudgement> {
    const daemon = new URL(adminUrl).hostname;
    if (status.isErr()) {
      return { daemon, ...UNREACHABLE };
    }
    const { self, configurationVersion } = status.value;
    const journal = await this.#readJournal(adminUrl);
    return {
      ...{ daemon, failureDomain: self.failureDomain },
      activeVersion: configurationVersion,
      ...judgeVersion(version, status.value, journal),
    };
  }

  async #readJournal(adminUrl: string): Promise<DaemonJournalEntry[]> {
    const options = { ...this, adminUrl };
    const entries: DaemonJournalEntry[] = [];
    for (
      const kind of [
        DECISIONS.configurationChange,
        DECISIONS.configurationRefused,
      ]
    ) {
      const read = await readJournal(options, `kind=${kind}`);
      if (read.isErr()) {
        this.showProgress(
          `cannot read the journal of ${adminUrl}: ${read.error.message}`,
        );
      }
      entries.push(...read.unwrapOr([]));
    }
    return entries;
  }
}

/** Chooses the highest version that a daemon refuses, or else the highest active one. */
function chooseVersion(fleet: readonly DaemonStatusResult[]): number {
  const statuses = fleet.flatMap(({ status }) =>
    status.isOk() ? [status.value] : []
  );
  const [refusal] = summarizeRefusals(statuses);
  return refusal?.version ??
    Math.max(0, ...statuses.map((status) => status.configurationVersion));
}

function format(version: number, daemons: readonly DaemonJudgement[]): string {
  const counts = new Map<string, number>();
  for (const { state } of daemons) {
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  const summary = [...counts].map(([state, count]) =>
    `${state} at ${count} of ${daemons.length} daemons`
  );
  return [
    `version ${version}: ${summary.join(", ")}`,
    "",
    formatTable(
      ["daemon", "domain", "version", "since", "active", "reason"],
      daemons.map((each) => [
        each.daemon,
        each.failureDomain,
        each.state,
        each.sinceMs > 0 ? new Date(each.sinceMs).toISOString() : "-",
        String(each.activeVersion ?? "-"),
        [each.reason, each.entry].filter((text) => text !== "").join(": "),
      ]),
    ),
  ].join("\n");
}
