/**
 * Finds inconsistencies in a configuration that a daemon can live with.
 *
 * A writer refuses them, since they are probably mistakes. A reader takes a
 * configuration that has them: its writer has accepted it, and a refusal would
 * keep every other change of the version from the fleet.
 */

import type { Configuration } from "../generated/types.ts";
import { findCallCycles } from "./find_call_cycles.ts";
import { findDuplicates } from "./find_duplicates.ts";
import { ReachCache } from "./reach_cache.ts";

/** Tolerance for rounding errors in a sum of ratios. */
const RATIO_TOLERANCE = 1e-9;

/** Most services and requests that a message lists. */
const MAX_LISTED = 8;

/**
 * Finds inconsistencies between the parts of a configuration.
 *
 * @param configuration - A configuration that a reader can read
 * @returns One message per inconsistency
 *
 * @example
 * findInconsistencies(configuration); // ["services form a call cycle: a -> b -> a"]
 */
export function findInconsistencies(configuration: Configuration): string[] {
  return [
    ...findNameErrors(configuration),
    ...findUnknownNames(configuration),
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
  const distinct: Record<string, string[]> = {
    class: classes.map(({ name }) => name),
    region: regions.map(({ name }) => name),
    "failure domain": regions.flatMap(({ failureDomains }) => failureDomains),
    tenant: tenants,
  };
  const all: Record<string, string[]> = {
    ...distinct,
    service: services.map(({ name }) => name),
    request: requests.map(({ name }) => name),
    account: accounts.map(({ name }) => name),
  };
  return [
    ...Object.entries(distinct).flatMap(([what, names]) =>
      findDuplicates(names).map((name) => `${what} ${name} is listed twice`)
    ),
    ...Object.entries(all).flatMap(([what, names]) =>
      names.filter((name) => name in {}).map((name) =>
        `${what} ${name} has a reserved name`
      )
    ),
  ];
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
    { name, className, reaches },
  ) => [
    ...reaches.filter((reached) => !services.has(reached))
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
function findUnsafeRetries({ requests, services }: Configuration): string[] {
  const callsByService = new Map(
    services.map(({ name, calls }) => [name, calls]),
  );
  const writes = requests.filter(({ method }) => method !== "GET");
  const nonRepeatableByService = new Map<string, string[]>();
  for (const { name, service } of writes.filter((each) => !each.isRepeatable)) {
    const names = nonRepeatableByService.get(service) ?? [];
    names.push(name);
    nonRepeatableByService.set(service, names);
  }
  const reach = new ReachCache(callsByService);
  return writes.filter(({ isRepeatable }) => isRepeatable).flatMap(
    (request) => {
      const reached = reach.list(request).slice(1)
        .filter((service) => nonRepeatableByService.has(service));
      return reached.length === 0 ? [] : [
        `request ${request.name} is repeatable but reaches ${
          listFirst(
            reached.map((service) =>
              `${service}, which runs the non-repeatable request ${
                listFirst(nonRepeatableByService.get(service) ?? [], ", ")
              }`
            ),
            ", and ",
          )
        }`,
      ];
    },
  );
}

/** Lists the first texts; a request may reach thousands of others. */
function listFirst(texts: readonly string[], separator: string): string {
  const omittedCount = texts.length - MAX_LISTED;
  return [
    ...texts.slice(0, MAX_LISTED),
    ...omittedCount > 0 ? [`${omittedCount} more`] : [],
  ].join(separator);
}
