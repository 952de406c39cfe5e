/**
 * Identity of a request: what a repeat has in common with the first one.
 *
 * Ids, time limits and idempotency keys are left out, since they differ between
 * repeats. The caller is the client account where one is known, the host that
 * the request is addressed to, and the calling service of a nested call. The
 * service of the VM on which an external request enters is left out, since the
 * same request may enter anywhere.
 */

import { normalizeHost } from "../configuration/mod.ts";
import type { CallContext } from "../generated/types.ts";

/** Name of the header field that names the host. */
const HOST_HEADER = "host";

/** Fields of a call that identify its request. */
export interface IdentifiedCall {
  readonly method: string;
  /** Path including the query string. */
  readonly path: string;
  readonly service: string;
  /** Alternating names and values, if callers' header fields are forwarded. */
  readonly headers?: readonly string[] | undefined;
  readonly callerService?: string | undefined;
  readonly body: Uint8Array;
  readonly context: Pick<CallContext, "depth" | "member" | "tenant">;
}

/**
 * Returns the parts of a call that identify its request, other than the body.
 *
 * @param call - The call
 * @returns Target and caller, in a fixed order
 *
 * @example
 * listIdentityParts(call); // ["GET", "app.example", "/rounds/1", "", "", ""]
 */
export function listIdentityParts(call: IdentifiedCall): string[] {
  const { method, path, service, callerService = "", context } = call;
  const target = readHost(call.headers ?? []) ?? service;
  const isNested = context.depth > 0;
  return [
    ...[method, target, path, context.member, context.tenant],
    isNested ? callerService : "",
  ];
}

function readHost(headers: readonly string[]): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === HOST_HEADER) {
      return normalizeHost(headers[index + 1] ?? "");
    }
  }
  return undefined;
}
