/**
 * The users' call graphs, scaled down in instances and slots but not in depth.
 */

import type { Configuration } from "../../generated/types.ts";
import type { RequestKind } from "../load/mod.ts";

/** A user's fleet and what its callers ask for. */
export interface OverloadScenario {
  readonly name: string;
  readonly configuration: Configuration;
  /** Chains of services by the first segment of the path. */
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
  /** The service with the least capacity; the deepest of every chain through it. */
  readonly deepestService: string;
  readonly importantClasses: readonly string[];
}

/** A request kind with the services that it passes through. */
export interface ChainedRequestKind extends RequestKind {
  readonly chain: readonly string[];
}

/** What distinguishes a user's scenario. */
export interface OverloadScenarioOptions {
  readonly name: string;
  readonly domains: OverloadScenario["domains"];
  readonly services: OverloadScenario["services"];
  /** Classes, the most important first, with the share kept for each. */
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
 * Creates a scenario with the configuration that protects it.
 *
 * @param options - Services, classes and requests
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
