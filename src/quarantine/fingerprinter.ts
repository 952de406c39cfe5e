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

/** Lengths of the parts, in characters of 6 bits. */
const TARGET_LENGTH = 8;
const BODY_LENGTH = 4;

/** Length of a fingerprint, in characters. */
export const FINGERPRINT_LENGTH = TARGET_LENGTH + BODY_LENGTH;

/** Purpose that distinguishes the derived key from other uses of the secret. */
const KEY_PURPOSE = "request-fingerprint";

/** Separates the parts of an identity; none of them can contain it. */
const SEPARATOR = "\n";

/** Maximum number of hashes that are cached. */
const MAX_CACHED_HASHES = 512;

/** Computes the fingerprints of requests. */
export class Fingerprinter {
  readonly #key: Uint8Array;
  readonly #emptyBody: string;
  /** A call is hashed several times on its way. */
  readonly #targetHashes = new Map<string, string>();

  constructor(fleetToken: string) {
    this.#key = createHmac("sha256", fleetToken).update(KEY_PURPOSE).digest();
    this.#emptyBody = this.#hash("").slice(0, BODY_LENGTH);
  }

  /** Describes target and caller of a call, which are hashed. */
  describeTarget(call: IdentifiedCall): string {
    return listIdentityParts(call).join(SEPARATOR);
  }

  /** Hashes a description of target and caller; the result is the first part of the fingerprint. */
  hashDescription(description: string): string {
    const known = this.#targetHashes.get(description);
    if (known !== undefined) {
      return known;
    }
    const targetHash = this.#hash(description).slice(0, TARGET_LENGTH);
    if (this.#targetHashes.size >= MAX_CACHED_HASHES) {
      this.#targetHashes.clear();
    }
    this.#targetHashes.set(description, targetHash);
    return targetHash;
  }

  /** Hashes a text to an id of the length of a fingerprint. */
  hashId(text: string): string {
    return this.#hash(text).slice(0, FINGERPRINT_LENGTH);
  }

  /** Hashes target and caller of a call. */
  hashTarget(call: IdentifiedCall): string {
    return this.hashDescription(this.describeTarget(call));
  }

  /** Computes the fingerprint of a call whose target was hashed. */
  complete(targetHash: string, { body }: Pick<IdentifiedCall, "body">): string {
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
    // Without a hyphen, which would make an option of an argument that it begins.
    return createHmac("sha256", this.#key).update(data).digest("base64url")
      .replaceAll("-", ".");
  }
}

/**
 * Returns the part of a fingerprint that depends on target and caller.
 *
 * @param fingerprint - The fingerprint
 * @returns The hash of target and caller
 *
 * @example
 * readTargetHash(fingerprinter.compute(call)) === fingerprinter.hashTarget(call); // true
 */
export function readTargetHash(fingerprint: string): string {
  return fingerprint.slice(0, TARGET_LENGTH);
}
