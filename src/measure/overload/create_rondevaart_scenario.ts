/**
 * Overload scenario of Coöperatie Frisdrank Rondevaart: its morning delivery round.
 */

import { createOverloadScenario } from "./create_overload_scenario.ts";
import type { OverloadScenario } from "./create_overload_scenario.ts";

/**
 * Creates the scenario. Requests for rounds pass through four services, the deepest
 * of which has the fewest slots. Delivery records are the most important class.
 *
 * @returns The scenario
 *
 * @example
 * const scenario = createRondevaartScenario();
 */
export function createRondevaartScenario(): OverloadScenario {
  return createOverloadScenario({
    name: "rondevaart",
    domains: [
      { region: "vlaanderen", failureDomain: "gent-a" },
      { region: "wallonie", failureDomain: "namur-a" },
    ],
    services: [
      { name: "round-planning", slots: 14, serviceTimeMs: 8 },
      { name: "delivery-ledger", slots: 16, serviceTimeMs: 8 },
      { name: "price-sheets", slots: 16, serviceTimeMs: 8 },
      { name: "stock", slots: 2, serviceTimeMs: 20 },
    ],
    classes: [
      { name: "deliveries", reservedRatio: 0.1 },
      { name: "rounds", reservedRatio: 0 },
      { name: "sheets", reservedRatio: 0 },
    ],
    importantClasses: ["deliveries"],
    deepestService: "stock",
    kinds: [
      {
        name: "record-delivery",
        className: "deliveries",
        weight: 0.1,
        service: "delivery-ledger",
        method: "POST",
        pathPrefix: "/deliveries",
        isRepeatable: false,
        chain: ["delivery-ledger", "stock"],
      },
      {
        name: "fetch-round",
        className: "rounds",
        weight: 0.8,
        service: "round-planning",
        method: "GET",
        pathPrefix: "/rounds",
        isRepeatable: true,
        chain: ["round-planning", "delivery-ledger", "price-sheets", "stock"],
      },
      {
        name: "load-sheet",
        className: "sheets",
        weight: 0.1,
        service: "price-sheets",
        method: "GET",
        pathPrefix: "/sheets",
        isRepeatable: true,
        chain: ["price-sheets"],
      },
    ],
  });
}
