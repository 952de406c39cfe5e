/**
 * Detects cycles in the call graph of services.
 */

import type { ServiceConfiguration } from "../generated/types.ts";

/**
 * Finds cycles in the call graph by depth-first search.
 *
 * @param services - Services with the services they call
 * @returns One cycle per back edge, with the first service repeated at the end
 *
 * @example
 * findCallCycles([{ name: "a", calls: ["a"] }]); // [["a", "a"]]
 */
export function findCallCycles(
  services: readonly ServiceConfiguration[],
): string[][] {
  const search: Search = {
    calls: new Map(services.map(({ name, calls }) => [name, calls])),
    finished: new Set(),
    path: new Set(),
    cycles: [],
  };
  services.forEach(({ name }) => visit(name, search));
  return search.cycles;
}

interface Search {
  readonly calls: ReadonlyMap<string, readonly string[]>;
  readonly finished: Set<string>;
  /** Services on the current search path, in order. */
  readonly path: Set<string>;
  readonly cycles: string[][];
}

function visit(service: string, search: Search): void {
  const { calls, cycles, finished, path } = search;
  if (path.has(service)) {
    const services = [...path];
    cycles.push([...services.slice(services.indexOf(service)), service]);
    return;
  }
  if (finished.has(service)) {
    return;
  }
  path.add(service);
  for (const called of calls.get(service) ?? []) {
    visit(called, search);
  }
  path.delete(service);
  finished.add(service);
}
