/**
 * Plans of light fleets with a ring of services, each calling the next three.
 */

import type { Configuration } from "../generated/types.ts";
import { createTestConfiguration } from "./create_test_configuration.ts";
import type { SimulatedFleetPlan } from "./simulated_fleet.ts";

/** Sizes of a light fleet. */
export interface LightPlanSizes {
  readonly seed: number;
  readonly domains: number;
  readonly membersPerDomain: number;
  readonly services: number;
  /** Services that callers address. */
  readonly entryServices: number;
}

/** Services that each service calls. */
export const CALLS_PER_SERVICE = 3;

const REGIONS = 2;

/**
 * Plans a light fleet in two regions.
 *
 * @param sizes - Numbers of failure domains, members and services
 * @returns The plan
 *
 * @example
 * const fleet = new LightFleet(createLightPlan({ seed: 1, domains: 4, membersPerDomain: 16, services: 8, entryServices: 2 }));
 */
export function createSimulatedFleetPlan(
  sizes: LightPlanSizes,
): SimulatedFleetPlan {
  const { seed, domains, membersPerDomain, services, entryServices } = sizes;
  const regions: Record<string, string[]> = {};
  for (let index = 0; index < domains; index += 1) {
    const region = `region-${index % REGIONS}`;
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
 * Names a service of the ring.
 *
 * @param index - Number of the service; it wraps around
 * @param services - Services in the ring
 * @returns The name
 *
 * @example
 * nameService(9, 8); // "service-1"
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
