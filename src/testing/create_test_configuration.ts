/**
 * Configurations for tests and experiments.
 */

import type { Configuration } from "../generated/types.ts";

/** Service chains by the first segment of the path, as the backend server stand-ins call them. */
export const TEST_CHAINS: Readonly<Record<string, readonly string[]>> = {
  rounds: ["round-planning", "delivery-ledger", "stock", "price-sheets"],
  deliveries: ["delivery-ledger", "stock"],
  sheets: ["price-sheets"],
  levels: ["stock"],
};

/**
 * Creates the configuration of a small example fleet: a chain of four services,
 * three classes and one non-repeatable request.
 *
 * @param changes - Top-level fields to override
 * @returns The configuration
 *
 * @example
 * const configuration = createTestConfiguration({ retryRatio: 0 });
 */
export function createTestConfiguration(
  changes: Partial<Configuration> = {},
): Configuration {
  return {
    name: "rondevaart",
    regions: [
      { name: "vlaanderen", failureDomains: ["gent-a", "gent-b"] },
      { name: "wallonie", failureDomains: ["namur-a", "namur-b"] },
    ],
    classes: [
      { name: "deliveries", reservedRatio: 0.1 },
      { name: "rounds", reservedRatio: 0 },
      { name: "bulk", reservedRatio: 0 },
    ],
    tenants: ["members", "customers"],
    services: [
      { name: "round-planning", calls: ["delivery-ledger"] },
      { name: "delivery-ledger", calls: ["stock"] },
      { name: "stock", calls: ["price-sheets"] },
      { name: "price-sheets", calls: [] },
    ],
    requests: [
      createRequest({
        name: "fetch-round",
        service: "round-planning",
        pathPrefix: "/rounds",
        className: "rounds",
      }),
      createRequest({
        name: "record-delivery",
        service: "delivery-ledger",
        pathPrefix: "/deliveries",
        className: "deliveries",
        method: "POST",
        isRepeatable: false,
        reaches: ["stock"],
      }),
      createRequest({
        name: "load-sheet",
        service: "price-sheets",
        pathPrefix: "/sheets",
        className: "bulk",
        isBulk: true,
      }),
      createRequest({
        name: "read-levels",
        service: "stock",
        pathPrefix: "/levels",
        className: "rounds",
        reaches: ["stock"],
      }),
    ],
    regionLinkBitsPerSecond: 30_000_000,
    retryRatio: 0.1,
    ...changes,
  };
}

type RequestFields = Partial<Configuration["requests"][number]> & {
  name: string;
  service: string;
  pathPrefix: string;
};

function createRequest(
  fields: RequestFields,
): Configuration["requests"][number] {
  return {
    method: "GET",
    className: "rounds",
    isRepeatable: true,
    isBulk: false,
    deadlineMs: 2_000,
    retryAllowance: 3,
    reaches: [],
    ...fields,
  };
}
