/**
 * A fast hash of short texts, the same in every daemon; it is not cryptographic.
 */

import murmurhash from "murmurhash";

/**
 * Hashes a text by 32-bit MurmurHash3.
 *
 * @param text - The text
 * @returns An unsigned integer of 32 bits
 *
 * @example
 * const slot = hashText(member) % SLOTS;
 */
export function hashText(text: string): number {
  return murmurhash.v3(text);
}
