/**
 * Peer calls for tests.
 */

import type { CallContext } from "../generated/types.ts";
import type { CallWithoutId } from "../peer/mod.ts";

/**
 * Creates the context of a repeatable call.
 *
 * @param changes - Fields to override
 * @returns The context
 *
 * @example
 * const context = createCallContext({ retryAllowance: 0 });
 */
export function createCallContext(
  changes: Partial<CallContext> = {},
): CallContext {
  return {
    requestId: "request-1",
    requestName: "fetch-round",
    className: "rounds",
    member: "member-1",
    tenant: "members",
    remainingMs: 2_000,
    retryAllowance: 3,
    depth: 0,
    isRepeatable: true,
    isBulk: false,
    ...changes,
  };
}

/**
 * Creates a call without a body.
 *
 * @param path - Path of the call
 * @param changes - Fields of the context to override
 * @returns The call
 *
 * @example
 * const call = createPeerCall("/rounds/7");
 */
export function createPeerCall(
  path: string,
  changes: Partial<CallContext> = {},
): CallWithoutId {
  return {
    kind: "call",
    purpose: "run",
    idempotencyKey: "",
    context: createCallContext(changes),
    service: "round-planning",
    method: "GET",
    path,
    contentType: "",
    bodyLengthBytes: 0,
  };
}
