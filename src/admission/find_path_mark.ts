/**
 * Finds the service of a request's path that admits the smallest share.
 */

import type { CompiledRequest } from "../configuration/mod.ts";
import type { AdmissionMark } from "../generated/types.ts";
import type { LoadSignalCache } from "./load_signal_cache.ts";

/**
 * Finds the lowest admit ratio that a service on the path of a request asks for.
 *
 * @param signals - Load signals of the services
 * @param request - The request with its path
 * @returns The service with its ratio, and the next higher ratio; undefined if nothing has to be refused
 *
 * @example
 * const mark = findPathMark(signals, request);
 */
export function findPathMark(
  signals: LoadSignalCache,
  { path, classRank }: Pick<CompiledRequest, "path" | "classRank">,
): AdmissionMark | undefined {
  const ratios = path.map((service) => ({
    service,
    ratio: signals.computeAdmitRatio(service, classRank),
  })).sort((one, other) => one.ratio - other.ratio);
  const [lowest, second] = ratios;
  return lowest && lowest.ratio < 1
    ? { ...lowest, otherRatio: second?.ratio ?? 1 }
    : undefined;
}
