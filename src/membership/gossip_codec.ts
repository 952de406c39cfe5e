/**
 * Wire format of gossip datagrams: a truncated HMAC followed by a CBOR-encoded
 * message whose field names are replaced by integer keys.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { Encoder } from "cbor-x";
import type { GossipMessage } from "../generated/types.ts";
import {
  validateGossipMessage,
  validateMemberRecord,
} from "../generated/validators.ts";

/** Length of the truncated HMAC-SHA-256, in bytes. */
const MAC_BYTES = 16;
/** Maximum size of a datagram that is decoded, in bytes. */
const MAX_DECODED_BYTES = 4_096;

/** Field names; the index of a name is its key on the wire. */
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

/** Encodes and authenticates messages, and decodes only those that are authentic and valid. */
export class GossipCodec {
  readonly #fleetToken: string;
  #omittedRecordCount = 0;
  readonly #encoder = new Encoder({
    useRecords: false,
    keyMap: Object.fromEntries(FIELD_NAMES.map((name, index) => [name, index])),
  });

  constructor(fleetToken: string) {
    this.#fleetToken = fleetToken;
  }

  /** Number of invalid records that were left out of valid messages. */
  get omittedRecordCount(): number {
    return this.#omittedRecordCount;
  }

  /** Encodes a message and prepends its authentication code. */
  encode(message: GossipMessage): Uint8Array {
    const payload = this.#encoder.encode(message);
    return Buffer.concat([this.#computeMac(payload), payload]);
  }

  /**
   * Decodes a datagram. Records that violate the schema are left out. Returns
   * undefined if it is not authentic, is corrupt or otherwise violates the schema.
   */
  decode(bytes: Uint8Array): GossipMessage | undefined {
    if (bytes.length <= MAC_BYTES || bytes.length > MAX_DECODED_BYTES) {
      return undefined;
    }
    const payload = bytes.subarray(MAC_BYTES);
    if (
      !timingSafeEqual(bytes.subarray(0, MAC_BYTES), this.#computeMac(payload))
    ) {
      return undefined;
    }
    try {
      const message: unknown = this.#encoder.decode(payload);
      return validateGossipMessage(message)
        ? message
        : this.#omitInvalid(message);
    } catch {
      return undefined;
    }
  }

  /** Leaves out invalid records, so that they do not cost the others their delivery. */
  #omitInvalid(message: unknown): GossipMessage | undefined {
    const { records } = message as { records?: unknown };
    if (!Array.isArray(records)) {
      return undefined;
    }
    const valid = records.filter((record) => validateMemberRecord(record));
    const rest = { ...message as object, records: valid };
    if (!validateGossipMessage(rest)) {
      return undefined;
    }
    this.#omittedRecordCount += records.length - valid.length;
    return rest;
  }

  #computeMac(payload: Uint8Array): Buffer {
    return createHmac("sha256", this.#fleetToken).update(payload).digest()
      .subarray(0, MAC_BYTES);
  }
}
