/**
 * Matching of calls to configured request kinds.
 */

import type {
  CompiledConfiguration,
  CompiledRequest,
} from "./compiled_configuration.ts";

/** What identifies the kind of a call. */
export interface CallTarget {
  readonly service: string;
  readonly method: string;
  readonly path: string;
}

/**
 * Finds the request kind with the longest matching path prefix.
 *
 * @param configuration - The configuration in force
 * @param target - Service, method and path of the call
 * @returns The request kind, or undefined if none matches
 *
 * @example
 * findRequest(configuration, { service: "ledger", method: "POST", path: "/deliveries" });
 */
export function findRequest(
  configuration: CompiledConfiguration,
  target: CallTarget,
): CompiledRequest | undefined {
  const matching = (configuration.requestsByService.get(target.service) ?? [])
    .filter(({ method, pathPrefix }) =>
      method === target.method && target.path.startsWith(pathPrefix)
    );
  return matching.reduce<CompiledRequest | undefined>(
    (best, request) =>
      best && best.pathPrefix.length >= request.pathPrefix.length
        ? best
        : request,
    undefined,
  );
}
