/**
 * Compiles a configuration document into the lookup tables used on the request path.
 */

import type {
  AccountConfiguration,
  Configuration,
  RequestConfiguration,
} from "../generated/types.ts";
import type {
  CompiledAccounts,
  CompiledConfiguration,
  CompiledRequest,
} from "./compiled_configuration.ts";
import { ReachCache } from "./reach_cache.ts";
import { RouteTable } from "./route_table.ts";

/**
 * Builds the lookup tables that admission and routing use from a valid document.
 *
 * @param document - A valid configuration
 * @param version - Version of the configuration
 * @returns The compiled configuration
 *
 * @example
 * const compiled = compileConfiguration(document, 12);
 */
export function compileConfiguration(
  document: Configuration,
  version: number,
): CompiledConfiguration {
  const classRanks = new Map(
    document.classes.map(({ name }, rank) => [name, rank]),
  );
  const callsByService = new Map(
    document.services.map(({ name, calls }) => [name, calls]),
  );
  const reach = new ReachCache(callsByService);
  const requests = document.requests.map((request): CompiledRequest =>
    compileRequest(request, {
      classRank: classRanks.get(request.className) ?? classRanks.size,
      path: reach.list(request),
    })
  );
  return {
    version,
    document,
    routes: new RouteTable(requests),
    requestsByName: new Map(requests.map((request) => [request.name, request])),
    accounts: document.accounts && compileAccounts(document.accounts),
    classRanks,
    callsByService,
    regionByFailureDomain: mapRegions(document),
  };
}

function compileAccounts(
  accounts: readonly AccountConfiguration[],
): CompiledAccounts {
  const byKeyDigest = new Map<string, AccountConfiguration>();
  const byName = new Map<string, AccountConfiguration>();
  for (const account of accounts) {
    byName.set(account.name, account);
    for (const digest of account.keyDigests) {
      byKeyDigest.set(digest, account);
    }
  }
  return { byKeyDigest, byName };
}

function mapRegions(document: Configuration): Map<string, string> {
  return new Map(
    document.regions.flatMap(({ name, failureDomains }) =>
      failureDomains.map((domain) => [domain, name] as const)
    ),
  );
}

/** Copies each field explicitly, which is several times faster here than object spread. */
function compileRequest(
  request: RequestConfiguration,
  derived: Pick<CompiledRequest, "classRank" | "path">,
): CompiledRequest {
  return {
    name: request.name,
    service: request.service,
    method: request.method,
    pathPrefix: request.pathPrefix,
    className: request.className,
    isRepeatable: request.isRepeatable,
    isBulk: request.isBulk,
    deadlineMs: request.deadlineMs,
    retryAllowance: request.retryAllowance,
    reaches: request.reaches,
    classRank: derived.classRank,
    path: derived.path,
    ...request.host !== undefined && {
      host: request.host,
      targetLatencyMs: request.targetLatencyMs ?? request.deadlineMs,
    },
    ...request.isPublic !== undefined && { isPublic: request.isPublic },
    ...request.weightedServices && {
      weightedServices: request.weightedServices,
    },
  };
}
