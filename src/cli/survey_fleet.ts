/**
 * Questions to every daemon of a fleet.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type VError from "verror";
import type { MemberRecord } from "../generated/types.ts";
import { AdminClient } from "./admin_client.ts";
import type { AdminClientOptions } from "./admin_client.ts";
import type { DaemonStatus } from "./daemon_status.ts";

/** What one daemon answered, or why it did not. */
export interface SurveyEntry {
  readonly adminUrl: string;
  readonly status: Result<DaemonStatus, VError>;
}

/** Daemons that are asked at once. */
const PARALLEL_QUESTIONS = 32;

/**
 * Asks a daemon for its status, then every member that it names, and so on
 * until no new one is named.
 *
 * @param first - The daemon to begin with
 * @returns The answers, or the error of the first daemon
 *
 * @example
 * const survey = await surveyFleet({ adminUrl, fleetToken });
 */
export async function surveyFleet(
  first: AdminClientOptions,
): Promise<Result<SurveyEntry[], VError>> {
  const { port } = new URL(first.adminUrl);
  const answers = new Map<string, SurveyEntry>();
  let waiting = [first.adminUrl];
  while (waiting.length > 0) {
    const batch = waiting.slice(0, PARALLEL_QUESTIONS);
    const entries = await Promise.all(
      batch.map((adminUrl) => askStatus({ ...first, adminUrl })),
    );
    entries.forEach((entry) => answers.set(entry.adminUrl, entry));
    const named = entries.flatMap((entry) => listNamed(entry, port));
    waiting = [...new Set([...waiting, ...named])].filter((url) =>
      !answers.has(url)
    );
  }
  const firstAnswer = answers.get(first.adminUrl);
  return firstAnswer?.status.isErr()
    ? err(firstAnswer.status.error)
    : ok(mergeSame([...answers.values()]));
}

async function askStatus(options: AdminClientOptions): Promise<SurveyEntry> {
  const status = await new AdminClient(options).get("/v1/status");
  const { adminUrl } = options;
  return { adminUrl, status: status.map((value) => value as DaemonStatus) };
}

function listNamed(entry: SurveyEntry, port: string): string[] {
  if (entry.status.isErr()) {
    return [];
  }
  return entry.status.value.members.filter(({ state }) => state !== "dead")
    .map(({ address }: MemberRecord) => `http://${address}:${port}`);
}

function mergeSame(entries: readonly SurveyEntry[]): SurveyEntry[] {
  const byDaemon = new Map(entries.map((entry) => [nameDaemon(entry), entry]));
  return [...byDaemon.values()];
}

function nameDaemon({ adminUrl, status }: SurveyEntry): string {
  return status.isOk() ? status.value.self.incarnation : adminUrl;
}
