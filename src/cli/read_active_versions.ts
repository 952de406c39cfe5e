/**
 * Reading of the active configuration versions of a fleet.
 */

import { AdminClient } from "./admin_client.ts";

/** Active configuration version of a daemon. */
export interface DaemonVersion {
  readonly adminUrl: string;
  /** Undefined if the daemon is unreachable. */
  readonly version: number | undefined;
}

/** Maximum number of concurrent requests. */
const MAX_CONCURRENT_REQUESTS = 32;

/**
 * Reads the active configuration version of each daemon.
 *
 * @param adminUrls - Base URLs of the daemons' admin ports
 * @param fleetToken - Shared secret of the fleet
 * @returns One entry for each daemon, in the order of the responses
 *
 * @example
 * const versions = await readActiveVersions(adminUrls, fleetToken);
 */
export async function readActiveVersions(
  adminUrls: readonly string[],
  fleetToken: string,
): Promise<DaemonVersion[]> {
  const versions: DaemonVersion[] = [];
  const pending = [...adminUrls];
  async function requestPending(): Promise<void> {
    for (let adminUrl = pending.pop(); adminUrl; adminUrl = pending.pop()) {
      const client = new AdminClient({ adminUrl, fleetToken });
      const response = await client.get("/v1/configuration");
      const version = response.isOk()
        ? (response.value as { version: number }).version
        : undefined;
      versions.push({ adminUrl, version });
    }
  }
  await Promise.all(
    Array.from({ length: MAX_CONCURRENT_REQUESTS }, requestPending),
  );
  return versions;
}
