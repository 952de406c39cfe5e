/**
 * Decoding of a byte stream into validated messages.
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

/** Collects bytes of one connection and gives back whole messages. */
export class FrameDecoder {
  #pending: Buffer = Buffer.alloc(0);

  /** Number of bytes that belong to a frame not yet whole. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Takes the next bytes; an error means that the stream cannot be trusted any more. */
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
            "frame of %d bytes",
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
        "frame is not CBOR",
      ),
    );
  }
  if (!validatePeerMessage(value)) {
    const finding = validatePeerMessage.errors?.[0];
    const where = finding?.instancePath ?? "";
    return err(
      new VError(
        { name: "MessageInvalid" },
        "message%s %s",
        where,
        finding?.message ?? "is invalid",
      ),
    );
  }
  return ok(value);
}
