/**
 * Keyed hashes of requests, by which daemons recognize a repeat.
 *
 * A fingerprint has two parts, so that the body is hashed only if target and
 * caller match. The key is derived from the fleet's secret, so that callers
 * cannot construct a request with the fingerprint of another one.
 */

import { createHmac } from "node:crypto";
import type { BinaryLike } from "node:crypto";
import { listIdentityParts } from "./request_identity.ts";
import type { IdentifiedCall } from "./request_identity.ts";

/** Lengths of the parts, in base64url characters of 6 bits. */
const TARGET_LENGTH = 8;
const BODY_LENGTH = 4;

/** Length of a fingerprint, in characters. */
export const FINGERPRINT_LENGTH = TARGET_LENGTH + BODY_LENGTH;

/** Matches a fingerprint. */
export const FINGERPRINT_PATTERN = new RegExp(
  `^[A-Za-z0-9_-]{${FINGERPRINT_LENGTH}}$`,
);

/** Purpose that distinguishes the derived key from other uses of the secret. */
const KEY_PURPOSE = "request-fingerprint";

/** Separates the parts of an identity; none of them can contain it. */
const SEPARATOR = "\n";

/** Computes the fingerprints of requests. */
export class Fingerprinter {
  readonly #key: Uint8Array;
  readonly #emptyBody: string;

  constructor(fleetToken: string) {
    this.#key = createHmac("sha256", fleetToken).update(KEY_PURPOSE).digest();
    this.#emptyBody = this.#hash("").slice(0, BODY_LENGTH);
  }

  /** Hashes target and caller of a call; the result is the first part of its fingerprint. */
  hashTarget(call: IdentifiedCall): string {
    return this.#hash(listIdentityParts(call).join(SEPARATOR))
      .slice(0, TARGET_LENGTH);
  }

  /** Computes the fingerprint of a call whose target was hashed. */
  complete(targetHash: string, { body }: IdentifiedCall): string {
    return targetHash +
      (body.length === 0
        ? this.#emptyBody
        : this.#hash(body).slice(0, BODY_LENGTH));
  }

  /** Computes the fingerprint of a call. */
  compute(call: IdentifiedCall): string {
    return this.complete(this.hashTarget(call), call);
  }

  #hash(data: BinaryLike): string {
    return createHmac("sha256", this.#key).update(data).digest("base64url");
  }
}
