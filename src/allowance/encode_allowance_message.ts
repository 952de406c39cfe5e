/**
 * Compact encoding of messages about allowances: CBOR of lists without names.
 */

import { encode } from "cbor-x";
import type {
  AllowanceInvitation,
  AllowanceMessage,
  AllowanceReply,
} from "./allowance_message.ts";

/**
 * Encodes a message or a reply.
 *
 * @param message - The message
 * @returns The bytes
 *
 * @example
 * const body = encodeAllowanceMessage({ kind: "invite", sender, groups: [0] });
 */
export function encodeAllowanceMessage(
  message: AllowanceMessage | AllowanceInvitation | AllowanceReply,
): Uint8Array {
  if ("loans" in message) {
    return encode([
      message.wantedGroups,
      message.loans.map((loan) => [
        loan.name,
        loan.count,
        Math.ceil(loan.retryInMs),
        Math.ceil(loan.spacingMs),
        Math.ceil(loan.askAgainMs),
      ]),
    ]);
  }
  if (message.kind === "invite") {
    return encode([message.sender, message.groups]);
  }
  return encode([
    message.sender,
    message.sequence,
    message.shares.map((share) => [
      share.group,
      share.memberCount,
      share.unusedMs,
    ]),
    message.demands.map((demand) => [
      demand.name,
      demand.ratePerSecond,
      demand.burst,
      demand.needed,
      demand.expected,
      demand.held,
      demand.demandPerSecond,
      demand.returned,
    ]),
  ]);
}
