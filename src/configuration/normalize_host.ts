/**
 * Comparable form of host names.
 */

/** Port at the end of a host, which may be empty. */
const PORT_PATTERN = /:\d*$/;

/**
 * Normalizes a host: case and port do not distinguish hosts.
 *
 * @param host - Host as a caller sends it or a configuration states it
 * @returns The host in lower case and without a port
 *
 * @example
 * normalizeHost("Rounds.example:8080"); // "rounds.example"
 */
export function normalizeHost(host: string): string {
  return host.toLowerCase().replace(PORT_PATTERN, "");
}
