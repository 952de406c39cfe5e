/**
 * Overload scenario of Verrou Boréal Consignes, an operator of lockers.
 */

import { createOverloadScenario } from "./create_overload_scenario.ts";
import type { OverloadScenario } from "./create_overload_scenario.ts";

/**
 * Creates the scenario. Status pages pass through four services, the deepest of
 * which has the fewest slots. Key releases and code lookups are the most important
 * classes.
 *
 * @returns The scenario
 *
 * @example
 * const scenario = createVerrouScenario();
 */
export function createVerrouScenario(): OverloadScenario {
  return createOverloadScenario({
    name: "verrou",
    domains: [
      { region: "mtl", failureDomain: "mtl-a" },
      { region: "qc", failureDomain: "qc-a" },
    ],
    services: [
      { name: "member-status", slots: 8, serviceTimeMs: 8 },
      { name: "key-release", slots: 12, serviceTimeMs: 8 },
      { name: "archive", slots: 12, serviceTimeMs: 8 },
      { name: "courier-access", slots: 2, serviceTimeMs: 20 },
    ],
    classes: [
      { name: "releases", reservedRatio: 0.1 },
      { name: "lookups", reservedRatio: 0.1 },
      { name: "status", reservedRatio: 0 },
      { name: "downloads", reservedRatio: 0 },
    ],
    importantClasses: ["releases", "lookups"],
    deepestService: "courier-access",
    kinds: [
      {
        name: "release-key",
        className: "releases",
        weight: 0.04,
        service: "key-release",
        method: "POST",
        pathPrefix: "/releases",
        isRepeatable: false,
        chain: ["key-release", "courier-access"],
      },
      {
        name: "look-up-code",
        className: "lookups",
        weight: 0.06,
        service: "member-status",
        method: "GET",
        pathPrefix: "/codes",
        isRepeatable: true,
        chain: ["member-status", "key-release", "courier-access"],
      },
      {
        name: "read-status",
        className: "status",
        weight: 0.8,
        service: "member-status",
        method: "GET",
        pathPrefix: "/status",
        isRepeatable: true,
        chain: ["member-status", "key-release", "archive", "courier-access"],
      },
      {
        name: "load-photo",
        className: "downloads",
        weight: 0.1,
        service: "archive",
        method: "GET",
        pathPrefix: "/photos",
        isRepeatable: true,
        chain: ["archive"],
      },
    ],
  });
}
