/**
 * Encoding of messages as frames: a 4-byte big-endian length, then the CBOR payload.
 */

import type { Buffer } from "node:buffer";
import type { PeerMessage } from "../generated/types.ts";
import { CborWriter } from "./cbor_writer.ts";
import { FRAME_HEADER_BYTES } from "./frame_constants.ts";

const writer = new CborWriter();

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
  const frame = writer.encode(message, FRAME_HEADER_BYTES);
  frame.writeUInt32BE(frame.length - FRAME_HEADER_BYTES, 0);
  return frame;
}
