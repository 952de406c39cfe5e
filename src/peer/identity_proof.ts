/**
 * Proof that a daemon knows the fleet token: an HMAC of its incarnation.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";

/**
 * Creates the proof that a daemon sends with its incarnation.
 *
 * @param fleetToken - Secret shared by the fleet
 * @param incarnation - Id of the daemon process
 * @returns The proof, encoded as base64url
 *
 * @example
 * const proof = createIdentityProof(settings.fleetToken, incarnation);
 */
export function createIdentityProof(
  fleetToken: string,
  incarnation: string,
): string {
  return createHmac("sha256", fleetToken).update(incarnation).digest(
    "base64url",
  );
}

/**
 * Verifies the proof for an incarnation, in constant time.
 *
 * @param fleetToken - Secret shared by the fleet
 * @param incarnation - Id that the sender claims
 * @param proof - Proof that the sender presented
 * @returns Whether the proof is valid
 *
 * @example
 * if (!verifyIdentityProof(token, hello.incarnation, hello.proof)) socket.destroy();
 */
export function verifyIdentityProof(
  fleetToken: string,
  incarnation: string,
  proof: string,
): boolean {
  const expected = Buffer.from(createIdentityProof(fleetToken, incarnation));
  const given = Buffer.from(proof);
  return expected.length === given.length && timingSafeEqual(expected, given);
}
