/**
 * Cache of load signals and of the admit ratios that services request in them.
 *
 * The weight of a signal decays with age. Without updates, its admit ratio rises
 * back to 1, and the signal is removed.
 */

import type { LoadSignal } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";

/** Age up to which an admit ratio applies unchanged, in milliseconds. */
const FRESH_MS = 300;

/** Time in which an admit ratio without updates rises from 0 to 1, in milliseconds. */
const RECOVERY_MS = 1_000;

/** Half-life of the weight of a signal among those of its service, in milliseconds. */
const HALF_LIFE_MS = 200;

/** Age at which a signal is removed, in milliseconds. */
const RETENTION_MS = FRESH_MS + RECOVERY_MS;

/** Maximum number of cached instances per service. */
const MAX_INSTANCES = 64;

/** Maximum number of cached services. */
const MAX_SERVICES = 256;

/** Time for which a list of signals to relay is used again while no ratio changes, in milliseconds. */
const LISTED_FOR_MS = 20;

const PERMILLE = 1_000;

interface CachedSignal {
  readonly signal: LoadSignal;
  readonly sequence: number;
  readonly receivedAtMs: number;
}

interface CachedService {
  readonly instances: Map<number, CachedSignal>;
  /** When an instance last signaled an admit ratio below 1, in monotonic milliseconds. */
  overloadedAtMs: number;
  /** Signals that were last listed to be relayed; undefined if a ratio has changed since. */
  listed: ListedSignals | undefined;
}

interface ListedSignals {
  readonly atMs: number;
  readonly maxInstances: number;
  readonly signals: readonly LoadSignal[];
}

/** How the admit ratio of a service follows from those of its instances. */
export interface AdmitRatioOptions {
  /** Share of the instances that must ask for less than 1; with fewer, the ratio is 1. 0 by default. */
  readonly minOverloadedShare?: number;
}

/** Latest load signals by service and instance. */
export class LoadSignalCache {
  readonly #clock: Clock;
  readonly #services = new Map<string, CachedService>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Caches a signal, unless a later one of the same instance is cached. */
  observe(signal: LoadSignal): void {
    const { service, instance, sequence } = signal;
    if (instance === undefined || sequence === undefined) {
      return;
    }
    const cached = this.#findOrAddService(service);
    const { instances } = cached;
    const previous = instances.get(instance);
    if (sequence <= (previous?.sequence ?? -1)) {
      return;
    }
    if (previous?.signal.admitLevel !== signal.admitLevel) {
      cached.listed = undefined;
    }
    const receivedAtMs = this.#clock.monotonicMs();
    instances.delete(instance);
    instances.set(instance, { signal, sequence, receivedAtMs });
    if (signal.admitLevel < 1) {
      cached.overloadedAtMs = receivedAtMs;
    }
    evictOldest(instances, MAX_INSTANCES);
  }

  /**
   * Computes the admit ratio of a class, weighted over the cached instances of the service.
   *
   * @param service - Name of the service
   * @param classRank - Rank of the class
   * @param options - How many instances must be overloaded
   * @returns The admit ratio, from 0 to 1
   */
  computeAdmitRatio(
    service: string,
    classRank: number,
    { minOverloadedShare = 0 }: AdmitRatioOptions = {},
  ): number {
    const nowMs = this.#clock.monotonicMs();
    if (!this.#wasOverloaded(service, nowMs)) {
      return 1;
    }
    let demand = 0;
    let admitted = 0;
    let overloaded = 0;
    for (const { signal, receivedAtMs } of this.#listUnexpired(service)) {
      const ageMs = nowMs - receivedAtMs;
      const weight = Math.max(1, signal.demandPerSecond ?? 0) *
        2 ** (-ageMs / HALF_LIFE_MS);
      const recovered = Math.max(0, ageMs - FRESH_MS) / RECOVERY_MS;
      demand += weight;
      const ratio = Math.min(1, readRatio(signal, classRank) + recovered);
      admitted += weight * ratio;
      overloaded += ratio < 1 ? weight : 0;
    }
    return demand === 0 || overloaded < demand * minOverloadedShare
      ? 1
      : admitted / demand;
  }

  /**
   * Lists the signals to relay: those of services that are or recently were
   * overloaded, so that the end of an overload spreads as fast as its start.
   *
   * @param services - Services to list
   * @param maxInstances - Maximum number of instances per service, the latest signals first
   */
  listOverloadSignals(
    services: readonly string[],
    maxInstances = MAX_INSTANCES,
  ): LoadSignal[] {
    const nowMs = this.#clock.monotonicMs();
    return services
      .filter((service) => this.#wasOverloaded(service, nowMs))
      .flatMap((service) => this.#listLatest(service, maxInstances));
  }

  /** Lists the latest signals of a service. Every reply asks for them, and a service may have many instances. */
  #listLatest(service: string, maxInstances: number): readonly LoadSignal[] {
    const cached = this.#findOrAddService(service);
    const atMs = this.#clock.monotonicMs();
    const { listed } = cached;
    if (
      listed?.maxInstances === maxInstances &&
      atMs - listed.atMs < LISTED_FOR_MS
    ) {
      return listed.signals;
    }
    const signals = this.#listUnexpired(service).slice(-maxInstances)
      .map(({ signal }) => signal);
    cached.listed = { atMs, maxInstances, signals };
    return signals;
  }

  /** Whether an unexpired signal may ask for an admit ratio below 1. */
  #wasOverloaded(service: string, nowMs: number): boolean {
    const cached = this.#services.get(service);
    return cached !== undefined &&
      nowMs - cached.overloadedAtMs < RETENTION_MS;
  }

  #findOrAddService(service: string): CachedService {
    const cached = this.#services.get(service) ??
      {
        instances: new Map(),
        overloadedAtMs: Number.NEGATIVE_INFINITY,
        listed: undefined,
      };
    this.#services.set(service, cached);
    evictOldest(this.#services, MAX_SERVICES);
    return cached;
  }

  #listUnexpired(service: string): CachedSignal[] {
    const instances = this.#services.get(service)?.instances;
    if (!instances) {
      return [];
    }
    const nowMs = this.#clock.monotonicMs();
    for (const [instance, { receivedAtMs }] of instances) {
      if (nowMs - receivedAtMs >= RETENTION_MS) {
        instances.delete(instance);
      }
    }
    return [...instances.values()];
  }
}

function readRatio(signal: LoadSignal, classRank: number): number {
  const permille = signal.admitPermille ?? [];
  return (permille[classRank] ?? permille.at(-1) ?? PERMILLE) / PERMILLE;
}

function evictOldest<K>(map: Map<K, unknown>, limit: number): void {
  if (map.size <= limit) {
    return;
  }
  for (const key of map.keys()) {
    map.delete(key);
    if (map.size <= limit) {
      return;
    }
  }
}
