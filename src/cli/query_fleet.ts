/**
 * Status queries to all daemons of a fleet.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type VError from "verror";
import type { MemberRecord } from "../generated/types.ts";
import { AdminClient } from "./admin_client.ts";
import type { AdminClientOptions } from "./admin_client.ts";
import type { DaemonStatus } from "./daemon_status.ts";

/** Status of one daemon, or the error of the request. */
export interface DaemonStatusResult {
  readonly adminUrl: string;
  readonly status: Result<DaemonStatus, VError>;
}

/** Maximum number of concurrent requests. */
const MAX_CONCURRENT_REQUESTS = 32;

/**
 * Requests the status of a daemon, then of every member that it lists, and so on
 * until no new member is found. Members that are listed as dead are not queried.
 *
 * @param initial - Address of and credentials for the first daemon
 * @returns One result for each daemon, or the error of the first daemon
 *
 * @example
 * const fleet = await queryFleet({ adminUrl, fleetToken });
 */
export async function queryFleet(
  initial: AdminClientOptions,
): Promise<Result<DaemonStatusResult[], VError>> {
  const { port } = new URL(initial.adminUrl);
  const results = new Map<string, DaemonStatusResult>();
  let pending = [initial.adminUrl];
  while (pending.length > 0) {
    const batch = pending.slice(0, MAX_CONCURRENT_REQUESTS);
    const entries = await Promise.all(
      batch.map((adminUrl) => fetchStatus({ ...initial, adminUrl })),
    );
    entries.forEach((entry) => results.set(entry.adminUrl, entry));
    const memberUrls = entries.flatMap((entry) => listMemberUrls(entry, port));
    pending = [...new Set([...pending, ...memberUrls])].filter((url) =>
      !results.has(url)
    );
  }
  const initialResult = results.get(initial.adminUrl);
  return initialResult?.status.isErr()
    ? err(initialResult.status.error)
    : ok(removeDuplicates([...results.values()]));
}

async function fetchStatus(
  options: AdminClientOptions,
): Promise<DaemonStatusResult> {
  const status = await new AdminClient(options).get("/v1/status");
  const { adminUrl } = options;
  return { adminUrl, status: status.map((value) => value as DaemonStatus) };
}

function listMemberUrls(entry: DaemonStatusResult, port: string): string[] {
  if (entry.status.isErr()) {
    return [];
  }
  return entry.status.value.members.filter(({ state }) => state !== "dead")
    .map(({ address }: MemberRecord) => `http://${address}:${port}`);
}

function removeDuplicates(
  entries: readonly DaemonStatusResult[],
): DaemonStatusResult[] {
  const byDaemonId = new Map(
    entries.map((entry) => [getDaemonId(entry), entry]),
  );
  return [...byDaemonId.values()];
}

function getDaemonId({ adminUrl, status }: DaemonStatusResult): string {
  return status.isOk() ? status.value.self.incarnation : adminUrl;
}
