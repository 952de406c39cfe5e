/**
 * Matches calls addressed to a host to configured request kinds.
 */

import type {
  CompiledConfiguration,
  CompiledRequest,
} from "./compiled_configuration.ts";

/** The address of a call. */
export interface RouteTarget {
  /** Host name; its case and port do not matter. */
  readonly host: string;
  /** Path with query string. */
  readonly path: string;
}

/**
 * Finds the request kind of a host with the longest matching path prefix that ends
 * in a slash.
 *
 * @param configuration - The active configuration
 * @param target - Host and path of the call
 * @returns The request kind, or undefined if none matches
 *
 * @example
 * findRoute(configuration, { host: "rounds.example", path: "/today/7?page=2" });
 */
export function findRoute(
  configuration: CompiledConfiguration,
  { host, path }: RouteTarget,
): CompiledRequest | undefined {
  return configuration.routes.findByHost(host, path);
}
