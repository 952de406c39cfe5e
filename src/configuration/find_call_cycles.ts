/**
 * Detects cycles in the call graph of services.
 */

import type { ServiceConfiguration } from "../generated/types.ts";

/** Most cycles that are listed; services that all call each other have as many as calls, each through any number of services. */
const MAX_CYCLES = 32;

/**
 * Finds cycles in the call graph by depth-first search.
 *
 * @param services - Services with the services they call
 * @returns One cycle per back edge, with the first service repeated at the end; at most 32
 *
 * @example
 * findCallCycles([{ name: "a", calls: ["a"] }]); // [["a", "a"]]
 */
export function findCallCycles(
  services: readonly ServiceConfiguration[],
): string[][] {
  const search = new CycleSearch(services);
  for (const { name } of services) {
    if (search.cycles.length === MAX_CYCLES) {
      break;
    }
    search.visit(name);
  }
  return search.cycles;
}

/** Service on the search path, with its calls that have not been followed. */
interface Step {
  readonly service: string;
  readonly calls: Iterator<string>;
}

/** Search with a path of its own, since a chain of calls may be longer than the stack of the process. */
class CycleSearch {
  readonly cycles: string[][] = [];
  readonly #calls: ReadonlyMap<string, readonly string[]>;
  readonly #finished = new Set<string>();
  readonly #path: Step[] = [];
  readonly #onPath = new Set<string>();

  constructor(services: readonly ServiceConfiguration[]) {
    this.#calls = new Map(services.map(({ name, calls }) => [name, calls]));
  }

  /** Follows all calls from a service. */
  visit(service: string): void {
    this.#enter(service);
    while (this.#path.length > 0 && this.cycles.length < MAX_CYCLES) {
      const step = this.#path.at(-1);
      const next = step?.calls.next();
      if (step && next?.done) {
        this.#leave(step.service);
      } else if (next) {
        this.#enter(next.value);
      }
    }
  }

  #enter(service: string): void {
    if (this.#onPath.has(service)) {
      const services = this.#path.map((step) => step.service);
      const start = services.indexOf(service);
      this.cycles.push([...services.slice(start), service]);
    } else if (!this.#finished.has(service)) {
      this.#onPath.add(service);
      const calls = this.#calls.get(service) ?? [];
      this.#path.push({ service, calls: calls.values() });
    }
  }

  #leave(service: string): void {
    this.#path.pop();
    this.#onPath.delete(service);
    this.#finished.add(service);
  }
}
