/**
 * Waiting until all daemons have activated an accepted version.
 */

import type { Result } from "neverthrow";
import type VError from "verror";
import type { AdminClientOptions } from "./admin_client.ts";
import { readActiveVersions } from "./read_active_versions.ts";
import type { DaemonVersion } from "./read_active_versions.ts";
import { queryFleet } from "./query_fleet.ts";
import type { DaemonStatusResult } from "./query_fleet.ts";

/** Time limit and progress output of a wait. */
export interface WaitOptions {
  readonly timeoutMs: number;
  /** Prints a progress message. */
  readonly report: (line: string) => void;
}

/** Daemons on which a version is active. */
export interface ActivationReport {
  readonly version: number;
  /** Number of daemons that have activated the version or a later one. */
  readonly inForceCount: number;
  readonly daemonCount: number;
  /** Admin URLs of daemons on which an earlier version is active. */
  readonly behind: readonly string[];
  /** Admin URLs of unreachable daemons. */
  readonly unreachable: readonly string[];
  readonly waitedMs: number;
}

const POLL_INTERVAL_MS = 250;

/**
 * Polls the daemons until all have activated a version or a later one, or until the
 * time limit.
 *
 * @param initial - Address of and credentials for the daemon that lists the others
 * @param version - The version to wait for
 * @param options - Time limit and progress output
 * @returns The state when the wait ended, or the error of the first daemon
 *
 * @example
 * const report = await waitUntilActive({ adminUrl, fleetToken }, 12, { timeoutMs: 30_000, report });
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
        `version ${version} active on ${inForceCount} of ${daemonCount} daemons`,
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
