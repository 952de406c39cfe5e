/**
 * Sending of configuration transfers in parts that fit a frame.
 */

import { CHUNK_BYTES } from "../constants/mod.ts";
import type { PeerConnection } from "./peer_connection.ts";

/**
 * Sends a transfer.
 *
 * @param link - Connection to the peer that asked
 * @param fetchId - Number that the peer gave its question
 * @param bytes - The compressed transfer
 * @returns Nothing; the parts are on their way
 *
 * @example
 * sendConfigurationParts(link, message.fetchId, bytes);
 */
export function sendConfigurationParts(
  link: PeerConnection,
  fetchId: number,
  bytes: Uint8Array,
): void {
  const totalBytes = bytes.length;
  for (
    let offsetBytes = 0;
    offsetBytes < totalBytes;
    offsetBytes += CHUNK_BYTES
  ) {
    link.send({
      kind: "configuration-part",
      fetchId,
      offsetBytes,
      totalBytes,
      body: bytes.subarray(offsetBytes, offsetBytes + CHUNK_BYTES),
    });
  }
}
