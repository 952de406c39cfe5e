/**
 * Versions in force at the daemons of a fleet.
 */

import { AdminClient } from "./admin_client.ts";

/** What is in force at a daemon; undefined where it could not be asked. */
export interface DaemonVersion {
  readonly adminUrl: string;
  readonly version: number | undefined;
}

/** Daemons asked at a time. */
const MAX_CONCURRENT_REQUESTS = 32;

/**
 * Asks each daemon which version is in force there.
 *
 * @param adminUrls - Admin ports of the daemons
 * @param fleetToken - Shared secret of the fleet
 * @returns An entry for each daemon
 *
 * @example
 * const versions = await readVersions(adminUrls, fleetToken);
 */
export async function readActiveVersions(
  adminUrls: readonly string[],
  fleetToken: string,
): Promise<DaemonVersion[]> {
  const versions: DaemonVersion[] = [];
  const pending = [...adminUrls];
  async function requestNext(): Promise<void> {
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
    Array.from({ length: MAX_CONCURRENT_REQUESTS }, requestNext),
  );
  return versions;
}
