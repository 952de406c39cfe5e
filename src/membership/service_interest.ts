/**
 * Services whose instances in other failure domains a daemon needs to know.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { MemberRecord, RequestConfiguration } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";
import { hashText } from "../hashing/mod.ts";

/**
 * Maximum number of remote instances known per service that this daemon's
 * backend server calls or that was requested.
 */
const NAMED_SERVICE_LIMIT = 32;

/** Maximum number of remote instances known per other service that callers address. */
const ENTRY_SERVICE_LIMIT = 8;

/** Time for which a requested service is remembered, in milliseconds. */
const REQUESTED_RETENTION_MS = 600_000;

/** Maximum number of requested services remembered. */
const MAX_REQUESTED_SERVICES = 64;

/** Determines the services that one daemon needs to know. */
export class ServiceInterest {
  readonly #configuration: ConfigurationHolder;
  readonly #clock: Clock;
  readonly #requestedAtMs = new Map<string, number>();
  #entryServices: ReadonlySet<string> = new Set();
  #entryVersion = 0;

  constructor(configuration: ConfigurationHolder, clock: Clock) {
    this.#configuration = configuration;
    this.#clock = clock;
  }

  /** Records that instances of a service were requested. Returns whether the service is new. */
  recordRequest(service: string): boolean {
    const isNew = !this.#requestedAtMs.has(service);
    this.#requestedAtMs.delete(service);
    this.#requestedAtMs.set(service, this.#clock.monotonicMs());
    if (this.#requestedAtMs.size > MAX_REQUESTED_SERVICES) {
      const [oldest = ""] = this.#requestedAtMs.keys();
      this.#requestedAtMs.delete(oldest);
    }
    return isNew;
  }

  /** Lists the services that the backend server of `service` calls, and the requested ones. */
  listNamed(service: string): string[] {
    const nowMs = this.#clock.monotonicMs();
    for (const [requested, atMs] of this.#requestedAtMs) {
      if (nowMs - atMs > REQUESTED_RETENTION_MS) {
        this.#requestedAtMs.delete(requested);
      }
    }
    return [
      ...new Set([
        ...this.#listCalledServices(service),
        ...this.#requestedAtMs.keys(),
      ]),
    ];
  }

  /**
   * Whether a daemon whose backend server belongs to `service` needs remote
   * instances of `target`.
   */
  isNeeded(target: string, service: string): boolean {
    return target !== "" &&
      (this.#requestedAtMs.has(target) || this.limitFor(target, service) > 0);
  }

  /**
   * Returns how many remote instances of `target` a daemon of `service` needs
   * according to the configuration.
   */
  limitFor(target: string, service: string): number {
    if (this.#listCalledServices(service).includes(target)) {
      return NAMED_SERVICE_LIMIT;
    }
    return this.#listEntryServices().has(target) ? ENTRY_SERVICE_LIMIT : 0;
  }

  #listCalledServices(service: string): readonly string[] {
    return this.#configuration.current?.callsByService.get(service) ?? [];
  }

  #listEntryServices(): ReadonlySet<string> {
    const { current } = this.#configuration;
    if (current && current.version !== this.#entryVersion) {
      this.#entryVersion = current.version;
      this.#entryServices = new Set(
        current.document.requests.flatMap(listServices),
      );
    }
    return this.#entryServices;
  }
}

/** Services to which requests of a kind are sent. */
function listServices(
  { service, weightedServices }: RequestConfiguration,
): string[] {
  return weightedServices
    ?.filter(({ weight }) => weight > 0)
    .map((weighted) => weighted.service) ?? [service];
}

/** Maximum number of remote instances returned per service named in a pull. */
export const NAMED_PULL_LIMIT = NAMED_SERVICE_LIMIT;

/**
 * Selects the instances of a service that are sent to one daemon. Different
 * daemons receive different subsets so that load spreads over all instances.
 * The subset is chosen by rendezvous hashing.
 *
 * @param instances - Remote instances of one service
 * @param requester - Incarnation of the daemon that receives the subset
 * @param limit - Maximum size of the subset
 * @returns Incarnations of the selected instances
 *
 * @example
 * const chosen = chooseSubset(instances, message.sender, 8);
 */
export function chooseSubset(
  instances: readonly MemberRecord[],
  requester: string,
  limit: number,
): ReadonlySet<string> {
  const ranked = instances.length <= limit
    ? instances
    : [...instances].sort((one, other) =>
      computeRank(requester, one) - computeRank(requester, other)
    );
  return new Set(ranked.slice(0, limit).map(({ incarnation }) => incarnation));
}

function computeRank(requester: string, { incarnation }: MemberRecord): number {
  return hashText(`${requester}>${incarnation}`);
}
