/**
 * Signed idempotency keys, which name the only daemon process that may dispatch the request.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";

/** Content of a key. */
export interface IdempotencyKey {
  /** Incarnation of the daemon that issued the key, which alone may dispatch the request. */
  readonly holder: string;
  /** Time since the epoch on the clock of the holder, in milliseconds. */
  readonly issuedAtMs: number;
  /** Number of the key, unique for its holder. */
  readonly sequence: number;
}

/**
 * Encodes and signs a key.
 *
 * @param key - Content of the key
 * @param fleetToken - Secret that signs the key
 * @returns The encoded key, as sent to callers
 *
 * @example
 * encodeIdempotencyKey({ holder: self.incarnation, issuedAtMs, sequence: 1 }, token);
 */
export function encodeIdempotencyKey(
  key: IdempotencyKey,
  fleetToken: string,
): string {
  const payload = Buffer.from(
    JSON.stringify([key.holder, key.issuedAtMs, key.sequence]),
  ).toString("base64url");
  return `${payload}.${sign(payload, fleetToken)}`;
}

/**
 * Decodes a key and verifies its signature.
 *
 * @param text - The encoded key, as received from a caller
 * @param fleetToken - Secret that signed the key
 * @returns Content of the key, or `keyInvalid` if the signature is wrong
 *
 * @example
 * const key = decodeIdempotencyKey(header, token);
 */
export function decodeIdempotencyKey(
  text: string,
  fleetToken: string,
): Result<IdempotencyKey, Reason> {
  const [payload = "", signature = ""] = text.split(".");
  const expected = Buffer.from(sign(payload, fleetToken));
  const given = Buffer.from(signature);
  if (expected.length !== given.length || !timingSafeEqual(expected, given)) {
    return err(REASONS.keyInvalid);
  }
  const [holder, issuedAtMs, sequence] = JSON.parse(
    Buffer.from(payload, "base64url").toString(),
  );
  return ok({ holder, issuedAtMs, sequence });
}

function sign(payload: string, fleetToken: string): string {
  return createHmac("sha256", fleetToken).update(payload).digest("base64url");
}
