/**
 * The check of the first message on a connection.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import { PROTOCOL_VERSION } from "../constants/mod.ts";
import type { HelloMessage, PeerMessage } from "../generated/types.ts";
import { verifyIdentityProof } from "./identity_proof.ts";

/**
 * Checks that a message is the greeting of a daemon of this fleet.
 *
 * @param message - The first message
 * @param fleetToken - The secret that daemons prove
 * @returns The greeting, or why the connection has to end
 *
 * @example
 * const hello = checkHello(message, identity.fleetToken);
 */
export function checkHello(
  message: PeerMessage,
  fleetToken: string,
): Result<HelloMessage, VError> {
  if (message.kind !== "hello") {
    return fail("MessageInvalid", "first message is not hello");
  }
  const { incarnation, proof, protocolVersion } = message;
  if (protocolVersion !== PROTOCOL_VERSION) {
    return fail(
      "ProtocolMismatch",
      `peer speaks protocol ${protocolVersion}, not ${PROTOCOL_VERSION}`,
    );
  }
  return verifyIdentityProof(fleetToken, incarnation, proof)
    ? ok(message)
    : fail("PeerUnproven", "peer does not know the fleet token");
}

function fail(name: string, message: string): Result<HelloMessage, VError> {
  return err(new VError({ name }, "%s", message));
}
