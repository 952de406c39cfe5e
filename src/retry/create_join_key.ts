/**
 * What makes two calls of a caller the same.
 */

import { createHash } from "node:crypto";

/** The parts of a call that duplicates share. */
export interface JoinKeyParts {
  readonly requestId: string;
  readonly member: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Creates the key under which duplicates of a call are joined.
 *
 * @param parts - Request id, Member, target and body
 * @returns The key
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
