/**
 * The load of a backend server, as entries are told of it.
 */

import type { LoadSignal } from "../generated/types.ts";
import type { AdmitRatioController } from "./admit_ratio_controller.ts";

const PERMILLE = 1_000;

/**
 * Creates the load signal of a backend server.
 *
 * @param load - Name, instance and figures of the server
 * @param controller - Its admit ratios and demand
 * @returns The load signal, with admit ratios only if some call is to be refused
 *
 * @example
 * createLoadSignal({ service: "a", instance: 1, sequence: 1, inFlight: 0, queued: 0, limit: 8 }, controller);
 */
export function createLoadSignal(
  load: Pick<
    LoadSignal,
    "service" | "instance" | "sequence" | "inFlight" | "queued" | "limit"
  >,
  { ratios, demandPerSecond, lowestRatio }: AdmitRatioController,
): LoadSignal {
  return {
    service: load.service,
    inFlight: load.inFlight,
    queued: load.queued,
    limit: load.limit,
    admitLevel: lowestRatio,
    instance: load.instance,
    sequence: load.sequence,
    demandPerSecond: Math.round(demandPerSecond),
    ...lowestRatio < 1 &&
      { admitPermille: ratios.map((ratio) => Math.ceil(ratio * PERMILLE)) },
  };
}
