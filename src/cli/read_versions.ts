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
const PARALLEL_QUESTIONS = 32;

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
export async function readVersions(
  adminUrls: readonly string[],
  fleetToken: string,
): Promise<DaemonVersion[]> {
  const versions: DaemonVersion[] = [];
  const waiting = [...adminUrls];
  async function askNext(): Promise<void> {
    for (let adminUrl = waiting.pop(); adminUrl; adminUrl = waiting.pop()) {
      const client = new AdminClient({ adminUrl, fleetToken });
      const answer = await client.get("/v1/configuration");
      const version = answer.isOk()
        ? (answer.value as { version: number }).version
        : undefined;
      versions.push({ adminUrl, version });
    }
  }
  await Promise.all(Array.from({ length: PARALLEL_QUESTIONS }, askNext));
  return versions;
}
