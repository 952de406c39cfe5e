/**
 * Finds inconsistencies in a configuration that the schema cannot express.
 */

import type { Configuration } from "../generated/types.ts";
import { findCallCycles } from "./find_call_cycles.ts";
import { listReachableServices } from "./list_reachable_services.ts";
import { RouteTable } from "./route_table.ts";

/** Tolerance for rounding errors in a sum of ratios. */
const RATIO_TOLERANCE = 1e-9;

/**
 * Finds inconsistencies between the parts of a configuration.
 *
 * @param configuration - A configuration that matches the schema
 * @returns One message per inconsistency
 *
 * @example
 * findInconsistencies(configuration); // ["services form a call cycle: a -> b -> a"]
 */
export function findInconsistencies(configuration: Configuration): string[] {
  return [
    ...findNameErrors(configuration),
    ...findUnknownNames(configuration),
    ...findDuplicateKeys(configuration),
    ...findDuplicateRoutes(configuration),
    ...findExcessiveReservations(configuration),
    ...findCallCycles(configuration.services).map((cycle) =>
      `services form a call cycle: ${cycle.join(" -> ")}`
    ),
    ...findUnsafeRetries(configuration),
  ];
}

function findNameErrors(
  { accounts = [], classes, regions, requests, services, tenants }:
    Configuration,
): string[] {
  const lists: Record<string, string[]> = {
    service: services.map(({ name }) => name),
    class: classes.map(({ name }) => name),
    request: requests.map(({ name }) => name),
    region: regions.map(({ name }) => name),
    "failure domain": regions.flatMap(({ failureDomains }) => failureDomains),
    tenant: tenants,
    account: accounts.map(({ name }) => name),
  };
  return Object.entries(lists).flatMap(([what, names]) => [
    ...findDuplicates(names).map((name) => `${what} ${name} is listed twice`),
    ...names.filter((name) => name in {}).map((name) =>
      `${what} ${name} has a reserved name`
    ),
  ]);
}

function findDuplicates(names: readonly string[]): string[] {
  const seen = new Set<string>();
  const repeated = new Set<string>();
  for (const name of names) {
    (seen.has(name) ? repeated : seen).add(name);
  }
  return [...repeated];
}

function findUnknownNames(configuration: Configuration): string[] {
  const services = new Set(configuration.services.map(({ name }) => name));
  const classes = new Set(configuration.classes.map(({ name }) => name));
  const calls = configuration.services.flatMap(({ name, calls }) =>
    calls.filter((called) => !services.has(called)).map((called) =>
      `service ${name} calls unknown service ${called}`
    )
  );
  const requests = configuration.requests.flatMap((
    { name, service, className, reaches },
  ) => [
    ...[service, ...reaches].filter((reached) => !services.has(reached))
      .map((reached) => `request ${name} refers to unknown service ${reached}`),
    ...classes.has(className)
      ? []
      : [`request ${name} refers to unknown class ${className}`],
  ]);
  const accounts = (configuration.accounts ?? []).flatMap((
    { name, className },
  ) =>
    className === undefined || classes.has(className)
      ? []
      : [`account ${name} refers to unknown class ${className}`]
  );
  return [...calls, ...requests, ...accounts];
}

/** Finds accounts that share a key; the message names neither the key nor its digest. */
function findDuplicateKeys({ accounts = [] }: Configuration): string[] {
  const owners = new Map<string, string>();
  return accounts.flatMap(({ name, keyDigests }) =>
    keyDigests.flatMap((digest) => {
      const owner = owners.get(digest) ?? name;
      owners.set(digest, owner);
      return owner === name
        ? []
        : [`accounts ${owner} and ${name} have the same key`];
    })
  );
}

function findDuplicateRoutes({ requests }: Configuration): string[] {
  return new RouteTable(requests).conflicts.map((
    { usedName, hiddenName, place },
  ) => `requests ${usedName} and ${hiddenName} have the same route: ${place}`);
}

function findExcessiveReservations({ classes }: Configuration): string[] {
  const total = classes.reduce(
    (sum, { reservedRatio }) => sum + reservedRatio,
    0,
  );
  return total > 1 + RATIO_TOLERANCE
    ? [
      `classes ${classes.map(({ name }) => name).join(", ")} reserve ${
        total.toFixed(2)
      } of each limit, more than 1`,
    ]
    : [];
}

/**
 * Finds repeatable requests that reach a non-repeatable one. A repeatable request
 * may be retried at any hop, so it must not reach work that may run only once. GET
 * requests are excluded, because GET is a safe method that only reads.
 */
function findUnsafeRetries(configuration: Configuration): string[] {
  const { requests, services } = configuration;
  const callsByService = new Map(
    services.map(({ name, calls }) => [name, calls]),
  );
  const nonRepeatable = requests.filter(({ isRepeatable, method }) =>
    !isRepeatable && method !== "GET"
  );
  const repeatableWrites = requests.filter(({ isRepeatable, method }) =>
    isRepeatable && method !== "GET"
  );
  return repeatableWrites.flatMap((request) => {
    const downstream = listReachableServices(request, callsByService).slice(1);
    return nonRepeatable.filter(({ service }) => downstream.includes(service))
      .map((
        { name, service },
      ) =>
        `request ${request.name} is repeatable but reaches ${service}, which runs the non-repeatable request ${name}`
      );
  });
}
