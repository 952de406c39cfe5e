/**
 * Matches calls addressed to a host to configured request kinds.
 */

import type {
  CompiledConfiguration,
  CompiledRequest,
} from "./compiled_configuration.ts";

/** The address of a call. */
export interface RouteTarget {
  /** Host name without port, in lower case. */
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
  const routes = configuration.routesByHost.get(host);
  const [pathname = ""] = path.split("?", 1);
  let end = routes ? pathname.length : 0;
  while (end > 0) {
    end = pathname.lastIndexOf("/", end - 1);
    const route = routes?.get(pathname.slice(0, end + 1));
    if (route) {
      return route;
    }
  }
  return undefined;
}
