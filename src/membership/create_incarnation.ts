/**
 * Identities of daemon processes.
 */

import { randomBytes } from "node:crypto";

/** Random bytes in an incarnation. */
const INCARNATION_RANDOM_BYTES = 6;

/** What an incarnation is made of. */
export interface IncarnationParts {
  readonly address: string;
  readonly peerPort: number;
  readonly startedAtMs: number;
}

/**
 * Creates the identity of a daemon process; no two processes share one.
 *
 * @param parts - Address, port and start time of the process
 * @returns The incarnation
 *
 * @example
 * createIncarnation({ address: "127.1.0.1", peerPort: 7102, startedAtMs: clock.nowMs() });
 */
export function createIncarnation(parts: IncarnationParts): string {
  const suffix = randomBytes(INCARNATION_RANDOM_BYTES).toString("base64url");
  return `${parts.address}:${parts.peerPort}/${
    parts.startedAtMs.toString(36)
  }-${suffix}`;
}
