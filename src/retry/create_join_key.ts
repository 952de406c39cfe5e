/**
 * Creates keys that identify duplicate calls.
 */

import { createHash } from "node:crypto";

/** Parts of a call that are equal in all its duplicates. */
export interface JoinKeyParts {
  readonly requestId: string;
  readonly member: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Creates the key by which duplicate calls are joined. The body enters as a
 * SHA-256 digest.
 *
 * @param parts - Request id, Member, target and body
 * @returns The join key
 *
 * @example
 * const result = joiner.join(createJoinKey(entry), entry.signal);
 */
export function createJoinKey(parts: JoinKeyParts): string {
  const { requestId, member, service, method, path, body } = parts;
  const digest = body.length === 0
    ? ""
    : createHash("sha256").update(body).digest("base64");
  return JSON.stringify([requestId, member, service, method, path, digest]);
}
