/**
 * Ids of backend server processes.
 */

import type { ServerIdentity } from "./backend_registry.ts";

/**
 * Formats the id of a backend server, which distinguishes processes that use the
 * same instance id one after the other.
 *
 * @param server - Announcement or identity of the server
 * @returns The id
 *
 * @example
 * formatServerId(announcement); // "i-7f3a/1769576915086"
 */
export function formatServerId(
  { instanceId = "", startedAtMs = 0 }: ServerIdentity,
): string {
  return `${instanceId}/${startedAtMs}`;
}
