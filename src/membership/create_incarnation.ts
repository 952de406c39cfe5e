/**
 * Unique identifiers of daemon processes.
 */

import { randomBytes } from "node:crypto";

/** Length of the random suffix, in bytes. */
const INCARNATION_RANDOM_BYTES = 6;

/** Process attributes encoded in an incarnation. */
export interface IncarnationParts {
  readonly address: string;
  readonly peerPort: number;
  readonly startedAtMs: number;
}

/**
 * Creates a unique identifier for a daemon process. A restart gets a new one.
 *
 * @param parts - Address, peer port and start time of the process
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
