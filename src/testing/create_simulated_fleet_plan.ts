/**
 * Plans of simulated fleets whose services form a ring, where each service calls
 * the next three.
 */

import type { Configuration } from "../generated/types.ts";
import { createTestConfiguration } from "./create_test_configuration.ts";
import type { SimulatedFleetPlan } from "./simulated_fleet.ts";

/** Dimensions of a simulated fleet. */
export interface SimulatedFleetSizes {
  readonly seed: number;
  readonly domains: number;
  readonly membersPerDomain: number;
  readonly services: number;
  /** Number of services that callers address. */
  readonly entryServices: number;
}

/** Number of services that each service calls. */
export const CALLS_PER_SERVICE = 3;

const REGION_COUNT = 2;

/**
 * Creates the plan of a simulated fleet in two regions.
 *
 * @param sizes - Random seed and numbers of failure domains, members and services
 * @returns The plan
 *
 * @example
 * const fleet = new SimulatedFleet(createSimulatedFleetPlan({ seed: 1, domains: 4, membersPerDomain: 16, services: 8, entryServices: 2 }));
 */
export function createSimulatedFleetPlan(
  sizes: SimulatedFleetSizes,
): SimulatedFleetPlan {
  const { seed, domains, membersPerDomain, services, entryServices } = sizes;
  const regions: Record<string, string[]> = {};
  for (let index = 0; index < domains; index += 1) {
    const region = `region-${index % REGION_COUNT}`;
    regions[region] = [...regions[region] ?? [], `domain-${index}`];
  }
  return {
    seed,
    regions,
    membersPerDomain,
    chooseService: (index) => createServiceName(index, services),
    configuration: createRingConfiguration(regions, services, entryServices),
  };
}

/**
 * Creates the name of a service in the ring.
 *
 * @param index - Index of the service; it wraps around
 * @param services - Number of services in the ring
 * @returns The name
 *
 * @example
 * createServiceName(9, 8); // "service-1"
 */
export function createServiceName(index: number, services: number): string {
  return `service-${index % services}`;
}

function createRingConfiguration(
  regions: Readonly<Record<string, readonly string[]>>,
  services: number,
  entryServices: number,
): Configuration {
  const template = createTestConfiguration();
  const names = Array.from(
    { length: services },
    (_, index) => createServiceName(index, services),
  );
  return {
    ...template,
    regions: Object.entries(regions).map(([name, failureDomains]) => ({
      name,
      failureDomains: [...failureDomains],
    })),
    services: names.map((name, index) => ({
      name,
      calls: Array.from(
        { length: CALLS_PER_SERVICE },
        (_, step) => createServiceName(index + step + 1, services),
      ),
    })),
    requests: names.slice(0, entryServices).flatMap((service) =>
      template.requests.slice(0, 1).map((request) => ({
        ...request,
        name: `call-${service}`,
        service,
        reaches: [],
      }))
    ),
  };
}
