/**
 * The plan of a fleet of one service, two instances in each failure domain,
 * and a VM of another service that calls enter at.
 */

import {
  createTestConfiguration,
  TEST_CHAINS,
} from "../../testing/create_test_configuration.ts";
import type { FleetPlan, VmPlan } from "../fleet.ts";

/** What differs between fleets of this shape. */
export interface StockFleetOptions {
  /** Second byte of the addresses. */
  readonly network: number;
  readonly serviceTimeMs: number;
  /** Cold start of the instances by address. */
  readonly coldStartMsByAddress: Readonly<Record<string, number>>;
}

/** Regions and failure domains, the home region first. */
export const DOMAINS = [
  { region: "vlaanderen", failureDomain: "gent-a" },
  { region: "vlaanderen", failureDomain: "gent-b" },
  { region: "wallonie", failureDomain: "namur-a" },
  { region: "wallonie", failureDomain: "namur-b" },
] as const;

/** Service of the VM that calls enter at; it takes no part otherwise. */
export const ENTRY_SERVICE = "round-planning";

const SLOTS = 16;
const INSTANCES_PER_DOMAIN = 2;

/**
 * Plans the fleet.
 *
 * @param options - Network and instances
 * @returns The plan
 *
 * @example
 * const plan = planStockFleet({ network: 55, serviceTimeMs: 5, coldStartMsByAddress: {} });
 */
export function createStockFleetPlan(
  { network, serviceTimeMs, coldStartMsByAddress }: StockFleetOptions,
): FleetPlan {
  const vms = DOMAINS.flatMap((domain, domainIndex) =>
    Array.from({ length: INSTANCES_PER_DOMAIN }, (_, index): VmPlan => {
      const address = `127.${network}.${domainIndex}.${index + 1}`;
      const coldStartMs = coldStartMsByAddress[address];
      return {
        ...domain,
        address,
        service: "stock",
        slots: SLOTS,
        behavior: { serviceTimeMs },
        ...coldStartMs === undefined ? {} : { coldStartMs },
      };
    })
  );
  const entry: VmPlan = {
    ...DOMAINS[0],
    address: `127.${network}.0.9`,
    service: ENTRY_SERVICE,
    slots: SLOTS,
  };
  return {
    configuration: createTestConfiguration(),
    chains: TEST_CHAINS,
    vms: [...vms, entry],
    storeAddress: `127.${network}.255.1`,
    storePort: 7000,
    protection: "on",
    randomSeed: network,
  };
}
