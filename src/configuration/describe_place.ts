/**
 * Description of what a request kind matches, for messages.
 */

import type { RequestConfiguration } from "../generated/types.ts";
import { normalizeHost } from "./normalize_host.ts";

/**
 * Describes what a request kind matches.
 *
 * @param request - The request kind
 * @returns Host and path prefix, or service, method and path prefix
 *
 * @example
 * describePlace({ host: "rounds.example", pathPrefix: "/today/", ... }); // "/today/ of host rounds.example"
 */
export function describePlace(
  { host, method, pathPrefix, service }: Pick<
    RequestConfiguration,
    "host" | "method" | "pathPrefix" | "service"
  >,
): string {
  return host === undefined
    ? `${method} ${pathPrefix} of service ${service}`
    : `${pathPrefix} of host ${normalizeHost(host)}`;
}
