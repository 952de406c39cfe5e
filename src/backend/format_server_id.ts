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

/**
 * Parses the id of a server.
 *
 * @param serverId - The id
 * @returns The server's identity
 *
 * @example
 * registry.leave(parseServerId("i-7f3a/1769576915086"));
 */
export function parseServerId(serverId: string): ServerIdentity {
  const end = serverId.lastIndexOf("/");
  return {
    instanceId: serverId.slice(0, end),
    startedAtMs: Number(serverId.slice(end + 1)),
  };
}
