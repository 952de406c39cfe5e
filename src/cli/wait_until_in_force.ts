/**
 * The wait until an accepted version is in force everywhere.
 */

import type { DaemonVersion, FleetClient } from "./fleet_client.ts";

/** How to wait. */
export interface WaitOptions {
  readonly timeoutMs: number;
  /** Shows progress. */
  readonly report: (line: string) => void;
}

/** Where a version is in force. */
export interface InForceReport {
  readonly version: number;
  readonly inForceCount: number;
  readonly daemonCount: number;
  /** Addresses of daemons that still have a lower version. */
  readonly behind: readonly string[];
  /** Addresses of daemons that could not be asked. */
  readonly unreachable: readonly string[];
  readonly waitedMs: number;
}

const POLL_INTERVAL_MS = 250;

/**
 * Asks the daemons until all have a version or a higher one.
 *
 * @param fleet - The daemons
 * @param version - The version
 * @param options - Time limit and progress
 * @returns Where the version is in force at the end
 *
 * @example
 * const report = await waitUntilInForce(fleet, 12, { timeoutMs: 30_000, report });
 */
export async function waitUntilInForce(
  fleet: FleetClient,
  version: number,
  options: WaitOptions,
): Promise<InForceReport> {
  const startedAtMs = performance.now();
  const daemons = await fleet.listDaemons();
  let lastCount = -1;
  for (;;) {
    const versions = await fleet.readVersions(daemons);
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
): InForceReport {
  const known = versions.filter((each) => each.version !== undefined);
  const behind = known.filter((each) => (each.version ?? 0) < version);
  const unreachable = versions.filter((each) => each.version === undefined);
  return {
    version,
    inForceCount: known.length - behind.length,
    daemonCount: versions.length,
    behind: behind.map(({ daemon }) => daemon.address),
    unreachable: unreachable.map(({ daemon }) => daemon.address),
    waitedMs,
  };
}
