/**
 * Fast non-cryptographic string hashing. Every daemon computes the same hash
 * for the same text.
 */

import murmurhash from "murmurhash";

/**
 * Hashes a string with 32-bit MurmurHash3.
 *
 * @param text - String to hash
 * @returns Unsigned 32-bit hash
 *
 * @example
 * const slot = hashText(member) % SLOTS;
 */
export function hashText(text: string): number {
  return murmurhash.v3(text);
}
