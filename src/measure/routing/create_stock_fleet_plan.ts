/**
 * Plans a fleet with two instances of the stock service in each failure domain, and
 * one VM of another service at which calls enter.
 */

import {
  createTestConfiguration,
  TEST_CHAINS,
} from "../../testing/create_test_configuration.ts";
import type { FleetPlan, VmPlan } from "../fleet.ts";

/** Options of a stock fleet. */
export interface StockFleetOptions {
  /** Second byte of the loopback addresses; keeps concurrent fleets apart. */
  readonly network: number;
  readonly serviceTimeMs: number;
  /** Cold start duration by address; instances without an entry start warm. */
  readonly coldStartMsByAddress: Readonly<Record<string, number>>;
}

/** Failure domains with their regions; the home region comes first. */
export const DOMAINS = [
  { region: "vlaanderen", failureDomain: "gent-a" },
  { region: "vlaanderen", failureDomain: "gent-b" },
  { region: "wallonie", failureDomain: "namur-a" },
  { region: "wallonie", failureDomain: "namur-b" },
] as const;

/** Service of the VM at which calls enter; it has no other role. */
export const ENTRY_SERVICE = "round-planning";

const SLOTS = 16;
const INSTANCES_PER_DOMAIN = 2;

/**
 * Creates the fleet plan.
 *
 * @param options - Loopback network, service time and cold starts
 * @returns The fleet plan
 *
 * @example
 * const plan = createStockFleetPlan({ network: 55, serviceTimeMs: 5, coldStartMsByAddress: {} });
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
