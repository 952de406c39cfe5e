/**
 * Contradictions within a configuration of valid shape.
 */

import type { Configuration } from "../generated/types.ts";
import { findCallCycles } from "./find_call_cycles.ts";
import { listReachableServices } from "./list_reachable_services.ts";

/** Rounding error allowed in a sum of shares. */
const RATIO_TOLERANCE = 1e-9;

/**
 * Finds whatever does not fit together in a configuration.
 *
 * @param configuration - A configuration of valid shape
 * @returns One sentence for each finding; none where all fits
 *
 * @example
 * findContradictions(configuration); // ["services call each other in a circle: a -> b -> a"]
 */
export function findInconsistencies(configuration: Configuration): string[] {
  return [
    ...findNameErrors(configuration),
    ...findUnknownNames(configuration),
    ...findDuplicateRoutes(configuration),
    ...findExcessiveReservations(configuration),
    ...findCallCycles(configuration.services).map((cycle) =>
      `services call each other in a circle: ${cycle.join(" -> ")}`
    ),
    ...findUnsafeRetries(configuration),
  ];
}

function findNameErrors(
  { classes, regions, requests, services, tenants }: Configuration,
): string[] {
  const lists: Record<string, string[]> = {
    service: services.map(({ name }) => name),
    class: classes.map(({ name }) => name),
    request: requests.map(({ name }) => name),
    region: regions.map(({ name }) => name),
    "failure domain": regions.flatMap(({ failureDomains }) => failureDomains),
    tenant: tenants,
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
      .map((reached) => `request ${name} names unknown service ${reached}`),
    ...classes.has(className)
      ? []
      : [`request ${name} names unknown class ${className}`],
  ]);
  return [...calls, ...requests];
}

function findDuplicateRoutes({ requests }: Configuration): string[] {
  const owners = new Map<string, string>();
  return requests.flatMap(({ name, service, method, pathPrefix }) => {
    const route = `${method} ${pathPrefix} of ${service}`;
    const owner = owners.get(route);
    owners.set(route, owner ?? name);
    return owner === undefined
      ? []
      : [`requests ${owner} and ${name} are both ${route}`];
  });
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
 * A repeatable request may be retried at any hop, so it must not reach work that
 * may run only once. GET only reads, by the meaning of the method.
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
