/**
 * Decoding of a byte stream into frames and validated messages.
 */

import { Buffer } from "node:buffer";
import { Decoder } from "cbor-x";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import { MAX_FRAME_BYTES } from "../constants/mod.ts";
import type { PeerMessage } from "../generated/types.ts";
import { validatePeerMessage } from "../generated/validators.ts";
import { FRAME_HEADER_BYTES } from "./frame_constants.ts";

const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Buffers the bytes received on a connection and decodes complete messages. */
export class FrameDecoder {
  #pending: Buffer = Buffer.alloc(0);

  /** Number of buffered bytes of an incomplete frame. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Decodes the messages completed by `bytes`. After an error the stream can no longer be trusted and must be closed. */
  push(bytes: Buffer): Result<PeerMessage[], VError> {
    this.#pending = this.#pending.length === 0
      ? bytes
      : Buffer.concat([this.#pending, bytes]);
    const messages: PeerMessage[] = [];
    let offset = 0;
    while (this.#pending.length - offset >= FRAME_HEADER_BYTES) {
      const lengthBytes = this.#pending.readUInt32BE(offset);
      if (lengthBytes > MAX_FRAME_BYTES) {
        return err(
          new VError(
            { name: "FrameTooLarge" },
            "frame of %d bytes exceeds the limit",
            lengthBytes,
          ),
        );
      }
      const end = offset + FRAME_HEADER_BYTES + lengthBytes;
      if (this.#pending.length < end) {
        break;
      }
      const message = decodeMessage(
        this.#pending.subarray(offset + FRAME_HEADER_BYTES, end),
      );
      if (message.isErr()) {
        return err(message.error);
      }
      messages.push(message.value);
      offset = end;
    }
    this.#pending = this.#pending.subarray(offset);
    return ok(messages);
  }
}

function decodeMessage(payload: Buffer): Result<PeerMessage, VError> {
  let value: unknown;
  try {
    value = decoder.decode(payload);
  } catch (cause) {
    return err(
      new VError(
        { name: "FrameCorrupt", cause: cause as Error },
        "frame is not valid CBOR",
      ),
    );
  }
  if (!validatePeerMessage(value)) {
    const violation = validatePeerMessage.errors?.[0];
    const location = violation?.instancePath ?? "";
    return err(
      new VError(
        { name: "MessageInvalid" },
        "message%s %s",
        location,
        violation?.message ?? "is invalid",
      ),
    );
  }
  return ok(value);
}
