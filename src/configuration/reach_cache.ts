/**
 * The services that requests may pass through, computed once for each service.
 *
 * Thousands of requests share a few hundred services, and each search follows the
 * whole call graph.
 */

import type { RequestConfiguration } from "../generated/types.ts";
import { listReachableServices } from "./list_reachable_services.ts";

/** Lists the services that requests of one configuration may pass through. */
export class ReachCache {
  readonly #callsByService: ReadonlyMap<string, readonly string[]>;
  readonly #byService = new Map<string, readonly string[]>();

  constructor(callsByService: ReadonlyMap<string, readonly string[]>) {
    this.#callsByService = callsByService;
  }

  /** Lists every service that a request may pass through, starting with its own. */
  list(
    request: Pick<RequestConfiguration, "service" | "reaches">,
  ): readonly string[] {
    if (request.reaches.length > 0) {
      return listReachableServices(request, this.#callsByService);
    }
    const services = this.#byService.get(request.service) ??
      listReachableServices(request, this.#callsByService);
    this.#byService.set(request.service, services);
    return services;
  }
}
