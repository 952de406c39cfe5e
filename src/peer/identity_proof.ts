/**
 * Proof that a daemon knows the fleet token.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";

/**
 * Computes the proof that a daemon sends with its incarnation.
 *
 * @param fleetToken - Secret shared by the fleet
 * @param incarnation - Identity of the daemon process
 * @returns The proof in base64url
 *
 * @example
 * const proof = proveIdentity(settings.fleetToken, incarnation);
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
 * Tells whether a proof fits an incarnation, in constant time.
 *
 * @param fleetToken - Secret shared by the fleet
 * @param incarnation - Identity that the sender claims
 * @param proof - What the sender sent
 * @returns Whether the sender knows the token
 *
 * @example
 * if (!isIdentityProven(token, hello.incarnation, hello.proof)) socket.destroy();
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
