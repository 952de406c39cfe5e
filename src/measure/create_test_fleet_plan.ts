/**
 * Fleet plan for experiments and tests: the test configuration on a small fleet
 * in two regions with two failure domains each.
 */

import type { BackendBehavior } from "../testing/backend_server_stand_in.ts";
import {
  createTestConfiguration,
  TEST_CHAINS,
} from "../testing/create_test_configuration.ts";
import type { FleetPlan, VmPlan } from "./fleet.ts";

/** Options of a test fleet. */
export interface TestFleetOptions {
  readonly protection: "on" | "off";
  /** Second byte of the loopback addresses; keeps concurrent fleets apart. */
  readonly network: number;
  readonly slots: number;
  readonly behavior?: Partial<BackendBehavior>;
}

const DOMAINS = [
  { region: "vlaanderen", failureDomain: "gent-a" },
  { region: "vlaanderen", failureDomain: "gent-b" },
  { region: "wallonie", failureDomain: "namur-a" },
  { region: "wallonie", failureDomain: "namur-b" },
] as const;

const SERVICE_NAMES = [
  "round-planning",
  "delivery-ledger",
  "stock",
  "price-sheets",
] as const;

/**
 * Creates a plan with one instance of each service in each failure domain.
 *
 * @param options - Protection, loopback network, slots and backend behavior
 * @returns The fleet plan
 *
 * @example
 * const fleet = new Fleet(createTestFleetPlan({ protection: "on", network: 20, slots: 8 }));
 */
export function createTestFleetPlan(options: TestFleetOptions): FleetPlan {
  const vms = DOMAINS.flatMap((domain, domainIndex) =>
    SERVICE_NAMES.map((service, serviceIndex): VmPlan => ({
      ...domain,
      service,
      address: `127.${options.network}.${domainIndex}.${serviceIndex + 1}`,
      slots: options.slots,
      ...options.behavior === undefined ? {} : { behavior: options.behavior },
    }))
  );
  return {
    configuration: createTestConfiguration(),
    chains: TEST_CHAINS,
    vms,
    storeAddress: `127.${options.network}.255.1`,
    storePort: 7000,
    protection: options.protection,
    randomSeed: options.network,
  };
}
