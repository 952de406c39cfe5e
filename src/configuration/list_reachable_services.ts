/**
 * Finds the services that a request may pass through.
 */

import type { RequestConfiguration } from "../generated/types.ts";

/**
 * Lists every service that a request may pass through, starting with its own.
 *
 * @param request - The request; if `reaches` is not empty, it replaces the call graph
 * @param callsByService - Services called by each service
 * @returns Distinct names of services
 *
 * @example
 * listReachableServices(request, new Map([["planning", ["stock"]]]));
 */
export function listReachableServices(
  request: Pick<RequestConfiguration, "service" | "reaches">,
  callsByService: ReadonlyMap<string, readonly string[]>,
): string[] {
  if (request.reaches.length > 0) {
    return [...new Set([request.service, ...request.reaches])];
  }
  const reached = new Set([request.service]);
  for (const service of reached) {
    for (const called of callsByService.get(service) ?? []) {
      reached.add(called);
    }
  }
  return [...reached];
}
