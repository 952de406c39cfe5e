/**
 * Reading of the decision journal of one daemon.
 */

import type { Result } from "neverthrow";
import type VError from "verror";
import type { JournalEntry } from "../telemetry/mod.ts";
import { AdminClient } from "./admin_client.ts";
import type { AdminClientOptions } from "./admin_client.ts";

/** A journal entry with the host name of the daemon that recorded it. */
export interface DaemonJournalEntry extends JournalEntry {
  readonly daemon: string;
}

/**
 * Reads the matching entries of a daemon's journal.
 *
 * @param options - Address of and credentials for the daemon
 * @param query - Query string of the admin API
 * @returns The entries, oldest first, or the error of the request
 *
 * @example
 * const entries = await readJournal({ adminUrl, fleetToken }, "kind=refusal");
 */
export async function readJournal(
  options: AdminClientOptions,
  query: string,
): Promise<Result<DaemonJournalEntry[], VError>> {
  const entries = await new AdminClient(options).get(`/v1/journal?${query}`);
  const daemon = new URL(options.adminUrl).hostname;
  return entries.map((list) =>
    (list as JournalEntry[]).map((entry) => ({ ...entry, daemon }))
  );
}
