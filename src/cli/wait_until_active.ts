/**
 * The wait until an accepted version is in force everywhere.
 */

import type { Result } from "neverthrow";
import type VError from "verror";
import type { AdminClientOptions } from "./admin_client.ts";
import { readActiveVersions } from "./read_active_versions.ts";
import type { DaemonVersion } from "./read_active_versions.ts";
import { queryFleet } from "./query_fleet.ts";
import type { DaemonStatusResult } from "./query_fleet.ts";

/** How to wait. */
export interface WaitOptions {
  readonly timeoutMs: number;
  /** Shows progress. */
  readonly report: (line: string) => void;
}

/** Where a version is in force. */
export interface ActivationReport {
  readonly version: number;
  readonly inForceCount: number;
  readonly daemonCount: number;
  /** Admin ports of daemons that still have a lower version. */
  readonly behind: readonly string[];
  /** Admin ports of daemons that could not be asked. */
  readonly unreachable: readonly string[];
  readonly waitedMs: number;
}

const POLL_INTERVAL_MS = 250;

/**
 * Asks the daemons until all have a version or a higher one.
 *
 * @param initial - A daemon to begin with
 * @param version - The version
 * @param options - Time limit and progress
 * @returns Where the version is in force at the end, or the error of the initial daemon
 *
 * @example
 * const report = await waitUntilInForce({ adminUrl, fleetToken }, 12, { timeoutMs: 30_000, report });
 */
export async function waitUntilActive(
  initial: AdminClientOptions,
  version: number,
  options: WaitOptions,
): Promise<Result<ActivationReport, VError>> {
  const fleet = await queryFleet(initial);
  return await fleet.asyncMap((entries) =>
    pollVersions(entries, version, {
      ...options,
      fleetToken: initial.fleetToken,
    })
  );
}

async function pollVersions(
  entries: readonly DaemonStatusResult[],
  version: number,
  options: WaitOptions & { readonly fleetToken: string },
): Promise<ActivationReport> {
  const startedAtMs = performance.now();
  const adminUrls = entries.map(({ adminUrl }) => adminUrl);
  let lastCount = -1;
  for (;;) {
    const versions = await readActiveVersions(adminUrls, options.fleetToken);
    const waitedMs = Math.round(performance.now() - startedAtMs);
    const summary = summarize(versions, version, waitedMs);
    const { daemonCount, inForceCount } = summary;
    if (inForceCount !== lastCount) {
      options.report(
        `version ${version} in force at ${inForceCount} of ${daemonCount} daemons`,
      );
      lastCount = inForceCount;
    }
    const isDone = daemonCount > 0 && inForceCount === daemonCount;
    if (isDone || waitedMs >= options.timeoutMs) {
      return summary;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

function summarize(
  versions: readonly DaemonVersion[],
  version: number,
  waitedMs: number,
): ActivationReport {
  const reachable = versions.filter((daemon) => daemon.version !== undefined);
  const behind = reachable.filter((daemon) => (daemon.version ?? 0) < version);
  const unreachable = versions.filter((daemon) => daemon.version === undefined);
  return {
    version,
    inForceCount: reachable.length - behind.length,
    daemonCount: versions.length,
    behind: behind.map(({ adminUrl }) => adminUrl),
    unreachable: unreachable.map(({ adminUrl }) => adminUrl),
    waitedMs,
  };
}
