/**
 * The services that a request passes through.
 */

import type { RequestConfiguration } from "../generated/types.ts";

/**
 * Lists every service that a request may pass through, its own first.
 *
 * @param request - The request; where it names what it reaches, only that counts
 * @param callsByService - Whom each service calls
 * @returns Names of services, each once
 *
 * @example
 * listReachedServices(request, new Map([["planning", ["stock"]]]));
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
