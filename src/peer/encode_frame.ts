/**
 * Encoding of messages as frames: a 4-byte big-endian length, then the CBOR payload.
 */

import { Buffer } from "node:buffer";
import { Encoder } from "cbor-x";
import type { PeerMessage } from "../generated/types.ts";
import { FRAME_HEADER_BYTES } from "./frame_constants.ts";

const encoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/**
 * Encodes a message as one frame.
 *
 * @param message - The message
 * @returns The frame, including its header
 *
 * @example
 * socket.write(encodeFrame({ kind: "cancel", callId: 7 }));
 */
export function encodeFrame(message: PeerMessage): Buffer {
  const payload = encoder.encode(message);
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, FRAME_HEADER_BYTES);
  return frame;
}
