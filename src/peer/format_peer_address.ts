/**
 * Text form of daemon addresses, as a key that outlasts a restart of the daemon.
 */

import type { MemberRecord } from "../generated/types.ts";

/**
 * Formats the address at which other daemons reach one.
 *
 * @param member - Record of the daemon
 * @returns Address and port
 *
 * @example
 * formatPeerAddress(member); // "10.0.0.1:7102"
 */
export function formatPeerAddress(
  { address, peerPort }: Pick<MemberRecord, "address" | "peerPort">,
): string {
  return `${address}:${peerPort}`;
}
