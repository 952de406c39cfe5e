/**
 * The definition of a route: which requests a request kind matches, and which
 * request kinds match the same ones.
 *
 * A request kind with a host matches by host and path prefix, whatever its
 * service and method. One without a host matches by service, method and path
 * prefix. Validation and look-up both use this table, so that they cannot
 * disagree about what a duplicate is.
 */

import type { RequestConfiguration } from "../generated/types.ts";
import { describePlace } from "./describe_place.ts";
import { normalizeHost } from "./normalize_host.ts";

/** The fields of a request kind that determine what it matches. */
export type RoutableRequest = Pick<
  RequestConfiguration,
  "name" | "service" | "method" | "pathPrefix" | "host"
>;

/** Two request kinds that match the same requests. */
export interface RouteConflict {
  /** Name of the earlier entry, which is the one that is looked up. */
  readonly usedName: string;
  /** Name of the later entry. */
  readonly hiddenName: string;
  /** What both match, for messages. */
  readonly place: string;
}

/** The attributes of a call to a service that determine its request kind. */
export interface ServiceTarget {
  readonly service: string;
  readonly method: string;
  readonly path: string;
}

/** Looks up request kinds, and reports those that match the same requests. */
export class RouteTable<T extends RoutableRequest> {
  /** Request kinds by path prefix, by normalized host. */
  readonly #byHost = new Map<string, Map<string, T>>();
  /** Request kinds by path prefix, by service and method. */
  readonly #byService = new Map<string, PrefixTable<T>>();
  readonly #conflicts: RouteConflict[] = [];

  constructor(requests: readonly T[]) {
    for (const request of requests) {
      const used = request.host === undefined
        ? this.#addToService(request)
        : this.#addToHost(request, request.host);
      if (used !== request) {
        this.#conflicts.push({
          usedName: used.name,
          hiddenName: request.name,
          place: describePlace(request),
        });
      }
    }
  }

  /** Request kinds that match the same requests as an earlier one. */
  get conflicts(): readonly RouteConflict[] {
    return this.#conflicts;
  }

  /**
   * Finds the request kind of a host with the longest path prefix that begins the
   * path and ends in a slash. The path may have a query string.
   */
  findByHost(host: string, path: string): T | undefined {
    const routes = this.#byHost.get(host) ??
      this.#byHost.get(normalizeHost(host));
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

  /** Finds the request kind of a service and method with the longest path prefix that begins the path. */
  findByService({ service, method, path }: ServiceTarget): T | undefined {
    return this.#byService.get(createServiceKey(service, method))?.find(path);
  }

  #addToHost(request: T, host: string): T {
    const key = normalizeHost(host);
    const routes = this.#byHost.get(key) ?? new Map<string, T>();
    this.#byHost.set(key, routes);
    const used = routes.get(request.pathPrefix) ?? request;
    routes.set(request.pathPrefix, used);
    return used;
  }

  #addToService(request: T): T {
    const key = createServiceKey(request.service, request.method);
    const routes = this.#byService.get(key) ?? new PrefixTable<T>();
    this.#byService.set(key, routes);
    return routes.add(request);
  }
}

/** Request kinds by path prefix, which need not end in a slash. */
class PrefixTable<T extends RoutableRequest> {
  readonly #byPrefix = new Map<string, T>();
  /** Distinct lengths of the prefixes, longest first. */
  #lengths: number[] = [];

  /** Adds a request kind unless there is one with its prefix; returns the one in the table. */
  add(request: T): T {
    const { pathPrefix } = request;
    const used = this.#byPrefix.get(pathPrefix) ?? request;
    this.#byPrefix.set(pathPrefix, used);
    if (!this.#lengths.includes(pathPrefix.length)) {
      this.#lengths = [...this.#lengths, pathPrefix.length]
        .sort((left, right) => right - left);
    }
    return used;
  }

  find(path: string): T | undefined {
    for (const length of this.#lengths) {
      const request = length <= path.length
        ? this.#byPrefix.get(path.slice(0, length))
        : undefined;
      if (request) {
        return request;
      }
    }
    return undefined;
  }
}

function createServiceKey(service: string, method: string): string {
  return `${method} ${service}`;
}
