/**
 * Name of a kind of calls whose responses have similar sizes.
 */

import type { OutboundCall } from "./outbound_call.ts";

/**
 * Names the kind of a call: its route and the service that serves it.
 *
 * @param call - The call
 * @returns The name
 *
 * @example
 * describeKind(call); // "archive/files"
 */
export function describeKind(
  { context, service }: Pick<OutboundCall, "context" | "service">,
): string {
  return `${context.requestName}/${service}`;
}
