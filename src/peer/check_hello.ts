/**
 * Validation of the hello, the first message on a peer connection.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import { PROTOCOL_VERSION } from "../constants/mod.ts";
import type { HelloMessage, PeerMessage } from "../generated/types.ts";
import { verifyIdentityProof } from "./identity_proof.ts";

/**
 * Checks that a message is a valid hello from a daemon of the same fleet.
 *
 * @param message - The first message received on the connection
 * @param fleetToken - Secret shared by the daemons of the fleet
 * @returns The hello, or the error with which to close the connection
 *
 * @example
 * const hello = checkHello(message, identity.fleetToken);
 */
export function checkHello(
  message: PeerMessage,
  fleetToken: string,
): Result<HelloMessage, VError> {
  if (message.kind !== "hello") {
    return fail("MessageInvalid", "first message is not a hello");
  }
  const { incarnation, proof, protocolVersion } = message;
  if (protocolVersion !== PROTOCOL_VERSION) {
    return fail(
      "ProtocolMismatch",
      `peer uses protocol version ${protocolVersion}, expected ${PROTOCOL_VERSION}`,
    );
  }
  return verifyIdentityProof(fleetToken, incarnation, proof)
    ? ok(message)
    : fail(
      "PeerUnproven",
      "peer failed to prove that it knows the fleet token",
    );
}

function fail(name: string, message: string): Result<HelloMessage, VError> {
  return err(new VError({ name }, "%s", message));
}
