/**
 * The `explain` command, which reads the decision journals of all daemons and prints
 * the decisions about a request, recent refusals, or recent changes.
 */

import { Command, Option } from "clipanion";
import { DECISIONS } from "../telemetry/mod.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { FleetCommand } from "./fleet_command.ts";
import { formatTable } from "./format_table.ts";
import { parseDuration } from "./parse_duration.ts";
import { queryFleet } from "./query_fleet.ts";
import { readJournal } from "./read_journal.ts";
import type { DaemonJournalEntry } from "./read_journal.ts";

/** Subjects other than request ids. */
const SUBJECTS = { refusals: "refusals", changes: "changes" } as const;

/** Decisions about single requests, which `changes` leaves out. */
const REQUEST_DECISIONS: ReadonlySet<string> = new Set([
  DECISIONS.refusal,
  DECISIONS.entryRefusal,
  DECISIONS.unknownOutcome,
  DECISIONS.retryDenied,
  DECISIONS.overAllowance,
]);

/** Explains a request, recent refusals, or recent changes. */
export class ExplainCommand extends FleetCommand {
  static override paths = [["explain"]];

  static override usage = Command.Usage({
    category: "Fleet",
    description: "explain a request, recent refusals, or recent changes",
    details:
      "Reads the decision journal of every daemon, including the values on which each decision was based. `refusals` counts refusals by reason, class and service; `changes` lists decisions about limits, instances, members and configuration. `explain version` is about a configuration version.",
    examples: [
      ["Why was this request refused?", "celeryhollow explain 7f3c-42"],
      ["What is being refused?", "celeryhollow explain refusals --since 1m"],
      ["What changed?", "celeryhollow explain changes --since 5m"],
    ],
  });

  subject = Option.String({ name: "REQUEST-ID | refusals | changes" });

  since = Option.String("--since", "5m", {
    description: "Time range to search, such as 30s, 5m or 2h (default 5m)",
  });

  protected override async run(): Promise<number> {
    const durationMs = parseDuration(this.since);
    if (durationMs === undefined) {
      this.context.stderr.write(
        `celeryhollow: --since ${this.since} is not a duration such as 30s, 5m or 2h\n`,
      );
      return EXIT_CODES.usageError;
    }
    const fleet = await queryFleet(this);
    if (fleet.isErr()) {
      return this.printError(fleet.error.message);
    }
    this.showProgress(`reading the journals of ${fleet.value.length} daemons`);
    const query = this.#createQuery(Date.now() - durationMs);
    const journals = await Promise.all(
      fleet.value.map(({ adminUrl }) => this.#readJournal(adminUrl, query)),
    );
    const entries = journals.flat().filter((entry) =>
      this.#matchesSubject(entry)
    )
      .sort((one, other) => one.atMs - other.atMs);
    return this.printResult(entries, () => this.#format(entries));
  }

  #createQuery(sinceMs: number): string {
    const isRequest = !(this.subject in SUBJECTS);
    const requestId = isRequest
      ? `&requestId=${encodeURIComponent(this.subject)}`
      : "";
    return `sinceMs=${sinceMs}${requestId}`;
  }

  async #readJournal(
    adminUrl: string,
    query: string,
  ): Promise<DaemonJournalEntry[]> {
    const entries = await readJournal({ ...this, adminUrl }, query);
    if (entries.isErr()) {
      this.showProgress(
        `cannot read the journal of ${adminUrl}: ${entries.error.message}`,
      );
    }
    return entries.unwrapOr([]);
  }

  #matchesSubject(entry: DaemonJournalEntry): boolean {
    switch (this.subject) {
      case SUBJECTS.refusals:
        return entry.kind === DECISIONS.refusal ||
          entry.kind === DECISIONS.entryRefusal;
      case SUBJECTS.changes:
        return !REQUEST_DECISIONS.has(entry.kind);
      default:
        return entry.requestId === this.subject;
    }
  }

  #format(entries: readonly DaemonJournalEntry[]): string {
    if (entries.length === 0) {
      return `no matching journal entries in the last ${this.since}`;
    }
    return this.subject === SUBJECTS.refusals
      ? formatRefusals(entries)
      : formatTimeline(entries);
  }
}

function formatTimeline(entries: readonly DaemonJournalEntry[]): string {
  return formatTable(
    ["time", "daemon", "decision", "facts"],
    entries.map(({ atMs, daemon, kind, facts }) => [
      new Date(atMs).toISOString(),
      daemon,
      kind,
      Object.entries(facts).map(([name, value]) => `${name}=${value}`).join(
        " ",
      ),
    ]),
  );
}

function formatRefusals(entries: readonly DaemonJournalEntry[]): string {
  const refusals = entries.filter(({ kind }) => kind === DECISIONS.refusal);
  const atEntries = entries.filter(({ kind }) =>
    kind === DECISIONS.entryRefusal
  );
  const tables = [
    formatTable(
      ["count", "reason", "class", "service"],
      countByFacts(refusals, ["reason", "class", "service"]),
    ),
    ...atEntries.length > 0
      ? [
        formatTable(
          ["refused at entries", "request", "class", "because of", "source"],
          countByFacts(atEntries, ["request", "class", "service", "source"]),
        ),
      ]
      : [],
  ];
  return tables.join("\n\n");
}

/** Counts the entries with the same facts; returns rows of the count and these facts, the highest count first. */
function countByFacts(
  entries: readonly DaemonJournalEntry[],
  names: readonly string[],
): string[][] {
  const counts = new Map<string, number>();
  for (const { facts } of entries) {
    const key = names.map((name) => facts[name] ?? "").join("\t");
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].sort(([, one], [, other]) => other - one)
    .map(([key, count]) => [String(count), ...key.split("\t")]);
}
