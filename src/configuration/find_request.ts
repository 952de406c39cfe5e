/**
 * Matches calls between services to configured request kinds.
 */

import type {
  CompiledConfiguration,
  CompiledRequest,
} from "./compiled_configuration.ts";

/** The attributes of a call that determine its request kind. */
export interface CallTarget {
  readonly service: string;
  readonly method: string;
  readonly path: string;
}

/**
 * Finds the request kind with the longest matching path prefix.
 *
 * @param configuration - The active configuration
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
