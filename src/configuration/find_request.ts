/**
 * Matches calls between services to configured request kinds.
 */

import type {
  CompiledConfiguration,
  CompiledRequest,
} from "./compiled_configuration.ts";
import type { ServiceTarget } from "./route_table.ts";

/** The attributes of a call that determine its request kind. */
export type CallTarget = ServiceTarget;

/**
 * Finds the request kind without a host that has the longest matching path prefix.
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
  return configuration.routes.findByService(target);
}
