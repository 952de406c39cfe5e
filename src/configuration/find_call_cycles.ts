/**
 * Detection of services that call each other in a circle.
 */

import type { ServiceConfiguration } from "../generated/types.ts";

/**
 * Finds cycles of calls.
 *
 * @param services - Services with whom they call
 * @returns A cycle for each place where one closes, the first service repeated at its end
 *
 * @example
 * findCallCycles([{ name: "a", calls: ["a"] }]); // [["a", "a"]]
 */
export function findCallCycles(
  services: readonly ServiceConfiguration[],
): string[][] {
  const calls = new Map(services.map(({ name, calls }) => [name, calls]));
  const finished = new Set<string>();
  const cycles: string[][] = [];
  for (const { name } of services) {
    visit(name, [], { calls, finished, cycles });
  }
  return cycles;
}

interface Search {
  readonly calls: ReadonlyMap<string, readonly string[]>;
  readonly finished: Set<string>;
  readonly cycles: string[][];
}

function visit(
  service: string,
  path: readonly string[],
  search: Search,
): void {
  const start = path.indexOf(service);
  if (start >= 0) {
    search.cycles.push([...path.slice(start), service]);
    return;
  }
  if (search.finished.has(service)) {
    return;
  }
  for (const called of search.calls.get(service) ?? []) {
    visit(called, [...path, service], search);
  }
  search.finished.add(service);
}
