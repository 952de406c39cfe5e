/**
 * Datagrams as bytes: a message authentication code, then the message in CBOR
 * with numbers in place of field names.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { Encoder } from "cbor-x";
import type { GossipMessage } from "../generated/types.ts";
import { validateGossipMessage } from "../generated/validators.ts";

const CODE_BYTES = 16;
const MAX_ACCEPTED_BYTES = 4_096;

const FIELD_NAMES = [
  "kind",
  "sender",
  "failureDomain",
  "sentAtMs",
  "recipient",
  "sequence",
  "configurationVersion",
  "digest",
  "records",
  "target",
  "scope",
  "buckets",
  "isReply",
  "service",
  "services",
  "incarnations",
  "position",
  "incarnation",
  "address",
  "peerPort",
  "region",
  "startedAtMs",
  "version",
  "state",
  "slots",
  "inFlight",
  "warmAtMs",
  "successor",
  "unreachableDomains",
] as const;

/** Encodes and proves messages, and takes only those that are proven and valid. */
export class GossipCodec {
  readonly #fleetToken: string;
  readonly #encoder = new Encoder({
    useRecords: false,
    keyMap: Object.fromEntries(FIELD_NAMES.map((name, index) => [name, index])),
  });

  constructor(fleetToken: string) {
    this.#fleetToken = fleetToken;
  }

  /** Encodes a message. */
  encode(message: GossipMessage): Uint8Array {
    const payload = this.#encoder.encode(message);
    return Buffer.concat([this.#prove(payload), payload]);
  }

  /** Decodes a datagram; undefined if it is not proven, corrupt or of another form. */
  decode(bytes: Uint8Array): GossipMessage | undefined {
    if (bytes.length <= CODE_BYTES || bytes.length > MAX_ACCEPTED_BYTES) {
      return undefined;
    }
    const payload = bytes.subarray(CODE_BYTES);
    if (!timingSafeEqual(bytes.subarray(0, CODE_BYTES), this.#prove(payload))) {
      return undefined;
    }
    try {
      const message: unknown = this.#encoder.decode(payload);
      return validateGossipMessage(message) ? message : undefined;
    } catch {
      return undefined;
    }
  }

  #prove(payload: Uint8Array): Buffer {
    return createHmac("sha256", this.#fleetToken).update(payload).digest()
      .subarray(0, CODE_BYTES);
  }
}
