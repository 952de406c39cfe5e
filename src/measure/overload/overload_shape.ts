/**
 * The users' call graphs, scaled down in instances and slots but not in depth.
 */

import type { Configuration } from "../../generated/types.ts";
import type { LoadKind } from "../load/mod.ts";

/** A user's fleet and what its callers ask for. */
export interface OverloadShape {
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
  readonly kinds: readonly LoadKind[];
  /** The service with the least capacity; the deepest of every chain through it. */
  readonly deepest: string;
  readonly importantClasses: readonly string[];
}

/** A request kind with the services that it passes through. */
export interface ShapeKind extends LoadKind {
  readonly chain: readonly string[];
}

/** What distinguishes a user's shape. */
export interface ShapeFields {
  readonly name: string;
  readonly domains: OverloadShape["domains"];
  readonly services: OverloadShape["services"];
  /** Classes, the most important first, with the share kept for each. */
  readonly classes: Configuration["classes"];
  readonly importantClasses: readonly string[];
  readonly kinds: readonly ShapeKind[];
  readonly deepest: string;
}

const REQUEST_DEADLINE_MS = 2_000;
const RETRY_ALLOWANCE = 3;
const RETRY_RATIO = 0.1;
const REGION_LINK_BITS_PER_SECOND = 30_000_000;

/**
 * Creates a shape with the configuration that protects it.
 *
 * @param fields - Services, classes and requests
 * @returns The shape
 *
 * @example
 * const shape = createOverloadShape({ name: "rondevaart", ...fields });
 */
export function createOverloadShape(fields: ShapeFields): OverloadShape {
  const { name, domains, services, kinds, deepest, importantClasses } = fields;
  return {
    name,
    configuration: createConfiguration(fields),
    chains: Object.fromEntries(
      kinds.map(({ pathPrefix, chain }) => [pathPrefix.slice(1), chain]),
    ),
    domains,
    services,
    kinds,
    deepest,
    importantClasses,
  };
}

function createConfiguration(fields: ShapeFields): Configuration {
  const { name, domains, services, classes, kinds } = fields;
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

function listCalled(service: string, kinds: readonly ShapeKind[]): string[] {
  const called = kinds.flatMap(({ chain }) => {
    const index = chain.indexOf(service);
    return index < 0 ? [] : chain.slice(index + 1, index + 2);
  });
  return [...new Set(called)];
}
