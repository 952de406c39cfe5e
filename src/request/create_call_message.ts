/**
 * Creates the message that carries a call to another daemon.
 */

import type { CallMessage } from "../generated/types.ts";
import type { CallWithoutId } from "../peer/mod.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { PEER_NOTES } from "./peer_notes.ts";

/**
 * Creates the message of a call, without call id and body.
 *
 * @param call - The call
 * @param purpose - Operation requested from the receiver
 * @returns The message
 *
 * @example
 * await peers.get(holder).call(createCallMessage(call, "dispatch"), call.body, options);
 */
export function createCallMessage(
  call: OutboundCall,
  purpose: CallMessage["purpose"],
): CallWithoutId {
  const { context, idempotencyKey, service, method, path, contentType } = call;
  const { headers, callerService } = call;
  const notes = [
    ...call.isLastResort ? [PEER_NOTES.lastResort, "1"] : [],
    ...call.leavingServer === undefined
      ? []
      : [PEER_NOTES.leavingServer, call.leavingServer],
    ...call.elsewhereMs === undefined
      ? []
      : [PEER_NOTES.elsewhere, String(Math.ceil(call.elsewhereMs))],
    ...call.spilledFrom === undefined
      ? []
      : [PEER_NOTES.spilledFrom, encodeURIComponent(call.spilledFrom)],
  ];
  const bodyLengthBytes = call.body.length;
  return {
    kind: "call",
    purpose,
    ...{ context, idempotencyKey, service, method, path, contentType },
    bodyLengthBytes,
    ...(headers || notes.length > 0) &&
      { headers: [...headers ?? [], ...notes] },
    ...callerService !== undefined && { callerService },
  };
}
