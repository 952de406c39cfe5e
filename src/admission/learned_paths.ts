/**
 * Services that requests pass through, learnt from the calls themselves.
 *
 * A deployment may not say which services call which. A daemon sees the calls
 * that its own backend server makes, and replies name the overloaded services
 * further down, so that each daemon on the way of a request learns of those
 * that matter to the refusal at the entry.
 */

import type { CompiledRequest } from "../configuration/mod.ts";
import type { LoadSignal } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";

/** Time after which a service that was not met again is forgotten, in milliseconds. */
const RETENTION_MS = 60_000;

/** Request kinds that are remembered. */
const MAX_REQUESTS = 4_096;

/** Remembers by request kind which services its calls have reached. */
export class LearnedPaths {
  readonly #clock: Clock;
  readonly #metAtMs = new Map<string, Map<string, number>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** A call for a request of this kind reaches a service. */
  record(requestName: string, service: string): void {
    if (this.#metAtMs.size >= MAX_REQUESTS) {
      this.#metAtMs.clear();
    }
    const services = this.#metAtMs.get(requestName) ?? new Map();
    this.#metAtMs.set(requestName, services);
    services.set(service, this.#clock.monotonicMs());
  }

  /** A reply to a call of this kind told of these services. */
  recordLoads(requestName: string, loads: readonly LoadSignal[]): void {
    loads.forEach(({ service }) => this.record(requestName, service));
  }

  /** Services that a request of this kind passes through, configured and learnt. */
  list(
    requestName: string,
    request: CompiledRequest | undefined,
  ): readonly string[] {
    const learnt = this.#metAtMs.get(requestName);
    const configured = request?.path ?? [];
    if (!learnt) {
      return configured;
    }
    const oldestMs = this.#clock.monotonicMs() - RETENTION_MS;
    for (const [service, metAtMs] of learnt) {
      if (metAtMs < oldestMs) {
        learnt.delete(service);
      }
    }
    return [...new Set([...configured, ...learnt.keys()])];
  }
}
