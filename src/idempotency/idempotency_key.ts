/**
 * Keys that name the one daemon process which may ever dispatch a request.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";

/** What a key says. */
export interface IdempotencyKey {
  /** The daemon process that issued the key and alone may dispatch its request. */
  readonly holder: string;
  readonly issuedAtMs: number;
  readonly sequence: number;
}

/**
 * Encodes a key with its signature.
 *
 * @param key - What the key says
 * @param fleetToken - Secret that signs it
 * @returns The key as callers see it
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
 * Decodes a key and checks its signature.
 *
 * @param text - The key as a caller sent it
 * @param fleetToken - Secret that signed it
 * @returns What the key says, or the reason why it is not one
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
