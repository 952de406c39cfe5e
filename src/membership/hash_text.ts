/**
 * A fast hash for ranking and fingerprints; it is not cryptographic.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes the 32-bit FNV-1a hash of a text, mixed so that all bits vary.
 *
 * @param text - The text
 * @returns A whole number from 0 to 2^32 - 1
 *
 * @example
 * const bucket = hashText(incarnation) % BUCKETS;
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  return hash >>> 0;
}
