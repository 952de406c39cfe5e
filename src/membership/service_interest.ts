/**
 * The services whose instances in other failure domains a daemon has to know.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";
import { hashText } from "../hashing/mod.ts";

/** Remote instances known of a service that the own backend server calls or that was asked for. */
const NAMED_LIMIT = 32;

/** Remote instances known of any other service that callers address. */
const ENTRY_LIMIT = 8;

/** Time for which a service counts as asked for, in milliseconds. */
const ASKED_RETENTION_MS = 600_000;

/** Services that count as asked for. */
const MAX_ASKED_SERVICES = 64;

/** Services of interest to one daemon. */
export class ServiceInterest {
  readonly #configuration: ConfigurationHolder;
  readonly #clock: Clock;
  readonly #askedAtMs = new Map<string, number>();
  #entryServices: ReadonlySet<string> = new Set();
  #entryVersion = 0;

  constructor(configuration: ConfigurationHolder, clock: Clock) {
    this.#configuration = configuration;
    this.#clock = clock;
  }

  /** Notes that instances of a service were asked for; tells whether that is new. */
  noteAsked(service: string): boolean {
    const isNew = !this.#askedAtMs.has(service);
    this.#askedAtMs.delete(service);
    this.#askedAtMs.set(service, this.#clock.monotonicMs());
    if (this.#askedAtMs.size > MAX_ASKED_SERVICES) {
      const [oldest = ""] = this.#askedAtMs.keys();
      this.#askedAtMs.delete(oldest);
    }
    return isNew;
  }

  /** Services that the backend server of `service` calls, and those asked for. */
  listNamed(service: string): string[] {
    const nowMs = this.#clock.monotonicMs();
    for (const [asked, atMs] of this.#askedAtMs) {
      if (nowMs - atMs > ASKED_RETENTION_MS) {
        this.#askedAtMs.delete(asked);
      }
    }
    return [
      ...new Set([...this.#listCalls(service), ...this.#askedAtMs.keys()]),
    ];
  }

  /** Whether remote instances of `wanted` matter to a daemon whose backend server is of `service`. */
  wants(wanted: string, service: string): boolean {
    return wanted !== "" &&
      (this.#askedAtMs.has(wanted) || this.limitFor(wanted, service) > 0);
  }

  /** How many remote instances of `wanted` a daemon of `service` has to know by configuration. */
  limitFor(wanted: string, service: string): number {
    if (this.#listCalls(service).includes(wanted)) {
      return NAMED_LIMIT;
    }
    return this.#listEntryServices().has(wanted) ? ENTRY_LIMIT : 0;
  }

  #listCalls(service: string): readonly string[] {
    return this.#configuration.current?.callsByService.get(service) ?? [];
  }

  #listEntryServices(): ReadonlySet<string> {
    const { current } = this.#configuration;
    if (current && current.version !== this.#entryVersion) {
      this.#entryVersion = current.version;
      this.#entryServices = new Set(
        current.document.requests.map(({ service }) => service),
      );
    }
    return this.#entryServices;
  }
}

/** Limit for services that a pull names. */
export const NAMED_PULL_LIMIT = NAMED_LIMIT;

/**
 * Chooses the instances of a service that one daemon is told of. Different
 * daemons are told of different ones, so that load spreads over all.
 *
 * @param instances - Remote instances of one service
 * @param asker - Incarnation of the daemon that is told
 * @param limit - How many it is told of
 * @returns The incarnations chosen
 *
 * @example
 * const chosen = chooseSubset(instances, message.sender, 8);
 */
export function chooseSubset(
  instances: readonly MemberRecord[],
  asker: string,
  limit: number,
): ReadonlySet<string> {
  const ranked = instances.length <= limit
    ? instances
    : [...instances].sort((one, other) =>
      rank(asker, one) - rank(asker, other)
    );
  return new Set(ranked.slice(0, limit).map(({ incarnation }) => incarnation));
}

function rank(asker: string, { incarnation }: MemberRecord): number {
  return hashText(`${asker}>${incarnation}`);
}
