/**
 * Collecting of message bodies with a size limit.
 */

import { Buffer } from "node:buffer";

/**
 * Collects a body and stops reading as soon as it exceeds the limit.
 *
 * @param body - Parts of the body; reading errors are thrown
 * @param maxBytes - Maximum size of the body, in bytes
 * @returns The body, or undefined if it is larger
 *
 * @example
 * const body = await collectBody(response.body, 1_048_576);
 */
export async function collectBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Uint8Array | undefined> {
  const parts: Uint8Array[] = [];
  let lengthBytes = 0;
  for await (const part of body) {
    lengthBytes += part.length;
    if (lengthBytes > maxBytes) {
      return undefined;
    }
    parts.push(part);
  }
  return Buffer.concat(parts);
}
