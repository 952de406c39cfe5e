/**
 * Digests of callers' keys, which stand for the keys wherever these are stored.
 */

import { createHash } from "node:crypto";

/**
 * Computes the digest by which a key is looked up.
 *
 * @param key - The key as the caller presents it
 * @returns The SHA-256 digest in base64url
 *
 * @example
 * accounts.byKeyDigest.get(digestKey(key));
 */
export function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("base64url");
}
