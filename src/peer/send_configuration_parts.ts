/**
 * Sends configuration transfers in parts that fit into a frame.
 */

import { CHUNK_BYTES } from "../constants/mod.ts";
import type { PeerConnection } from "./peer_connection.ts";

/**
 * Sends a configuration transfer.
 *
 * @param connection - Connection to the peer that requested it
 * @param fetchId - Id that the peer gave the fetch
 * @param bytes - The compressed transfer
 * @returns Nothing; the parts are queued for sending
 *
 * @example
 * sendConfigurationParts(connection, message.fetchId, bytes);
 */
export function sendConfigurationParts(
  connection: PeerConnection,
  fetchId: number,
  bytes: Uint8Array,
): void {
  const totalBytes = bytes.length;
  for (
    let offsetBytes = 0;
    offsetBytes < totalBytes;
    offsetBytes += CHUNK_BYTES
  ) {
    connection.send({
      kind: "configuration-part",
      fetchId,
      offsetBytes,
      totalBytes,
      body: bytes.subarray(offsetBytes, offsetBytes + CHUNK_BYTES),
    });
  }
}
