/**
 * Overload scenarios: the users' call graphs with their full depth, scaled down in
 * instances and slots.
 */

import type { Configuration } from "../../generated/types.ts";
import type { RequestKind } from "../load/mod.ts";

/** A user's fleet and the load of its callers. */
export interface OverloadScenario {
  readonly name: string;
  readonly configuration: Configuration;
  /** Services that call each other in turn, by the first segment of the request path. */
  readonly chains: Readonly<Record<string, readonly string[]>>;
  readonly domains: readonly {
    readonly region: string;
    readonly failureDomain: string;
  }[];
  readonly services: readonly {
    readonly name: string;
    readonly slots: number;
    readonly serviceTimeMs: number;
  }[];
  readonly kinds: readonly RequestKind[];
  /** Service with the least capacity; it is last in every chain that contains it. */
  readonly deepestService: string;
  readonly importantClasses: readonly string[];
}

/** Request kind with the chain of services that it passes through. */
export interface ChainedRequestKind extends RequestKind {
  readonly chain: readonly string[];
}

/** Parts of a scenario that differ between users. */
export interface OverloadScenarioOptions {
  readonly name: string;
  readonly domains: OverloadScenario["domains"];
  readonly services: OverloadScenario["services"];
  /** Classes with their reserved ratios, most important first. */
  readonly classes: Configuration["classes"];
  readonly importantClasses: readonly string[];
  readonly kinds: readonly ChainedRequestKind[];
  readonly deepestService: string;
}

const REQUEST_DEADLINE_MS = 2_000;
const RETRY_ALLOWANCE = 3;
const RETRY_RATIO = 0.1;
const REGION_LINK_BITS_PER_SECOND = 30_000_000;

/**
 * Creates a scenario and the configuration of its fleet.
 *
 * @param options - Failure domains, services, classes and request kinds
 * @returns The scenario
 *
 * @example
 * const scenario = createOverloadScenario({ name: "rondevaart", ...options });
 */
export function createOverloadScenario(
  options: OverloadScenarioOptions,
): OverloadScenario {
  const { name, domains, services, kinds, deepestService, importantClasses } =
    options;
  return {
    name,
    configuration: createConfiguration(options),
    chains: Object.fromEntries(
      kinds.map(({ pathPrefix, chain }) => [pathPrefix.slice(1), chain]),
    ),
    domains,
    services,
    kinds,
    deepestService,
    importantClasses,
  };
}

function createConfiguration(options: OverloadScenarioOptions): Configuration {
  const { name, domains, services, classes, kinds } = options;
  const regions = [...new Set(domains.map(({ region }) => region))];
  return {
    name,
    regions: regions.map((region) => ({
      name: region,
      failureDomains: domains.filter((domain) => domain.region === region)
        .map(({ failureDomain }) => failureDomain),
    })),
    classes,
    tenants: ["members"],
    services: services.map((service) => ({
      name: service.name,
      calls: listCalled(service.name, kinds),
    })),
    requests: kinds.map((kind) => ({
      name: kind.name,
      service: kind.service,
      method: kind.method,
      pathPrefix: kind.pathPrefix,
      className: kind.className,
      isRepeatable: kind.isRepeatable,
      isBulk: false,
      deadlineMs: REQUEST_DEADLINE_MS,
      retryAllowance: RETRY_ALLOWANCE,
      reaches: [...kind.chain],
    })),
    regionLinkBitsPerSecond: REGION_LINK_BITS_PER_SECOND,
    retryRatio: RETRY_RATIO,
  };
}

/** Lists the services that a service calls directly. */
function listCalled(
  service: string,
  kinds: readonly ChainedRequestKind[],
): string[] {
  const called = kinds.flatMap(({ chain }) => {
    const index = chain.indexOf(service);
    return index < 0 ? [] : chain.slice(index + 1, index + 2);
  });
  return [...new Set(called)];
}
