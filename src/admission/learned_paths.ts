/**
 * Services that requests pass through, learned from observed calls.
 *
 * A deployment may not configure which services call which. A daemon sees the
 * calls that its own backend server makes, and replies name overloaded services
 * further downstream. Each daemon on the path of a request thus learns the
 * services that matter to admission at the entry.
 */

import type { CompiledRequest } from "../configuration/mod.ts";
import type { LoadSignal } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";

/** Time after which a service that was not seen again is removed, in milliseconds. */
const RETENTION_MS = 60_000;

/** Maximum number of request kinds; reaching it clears the map. */
const MAX_REQUESTS = 4_096;

/** Tracks which services the calls of each request kind reach. */
export class LearnedPaths {
  readonly #clock: Clock;
  readonly #seenAtMs = new Map<string, Map<string, number>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a call for a request of this kind reaches a service. */
  record(requestName: string, service: string): void {
    if (this.#seenAtMs.size >= MAX_REQUESTS) {
      this.#seenAtMs.clear();
    }
    const services = this.#seenAtMs.get(requestName) ?? new Map();
    this.#seenAtMs.set(requestName, services);
    services.set(service, this.#clock.monotonicMs());
  }

  /** Records the services named by the load signals of a reply. */
  recordLoads(requestName: string, loads: readonly LoadSignal[]): void {
    loads.forEach(({ service }) => this.record(requestName, service));
  }

  /** Lists the services that a request of this kind passes through, configured or learned. */
  list(
    requestName: string,
    request: CompiledRequest | undefined,
  ): readonly string[] {
    const learned = this.#seenAtMs.get(requestName);
    const configured = request?.path ?? [];
    if (!learned) {
      return configured;
    }
    const oldestMs = this.#clock.monotonicMs() - RETENTION_MS;
    for (const [service, seenAtMs] of learned) {
      if (seenAtMs < oldestMs) {
        learned.delete(service);
      }
    }
    return [...new Set([...configured, ...learned.keys()])];
  }
}
