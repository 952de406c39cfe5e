/**
 * What this daemon knows of the shares that services ask entries to admit.
 */

import type { LoadSignal } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";

/** Age from which a share rises again without news, in milliseconds. */
const FRESH_MS = 300;

/** Time in which a share that gets no news rises from 0 to 1, in milliseconds. */
const RISE_MS = 1_000;

/** Age at which a signal counts half beside newer ones of its service, in milliseconds. */
const HALF_WEIGHT_MS = 200;

/** Age at which a signal is forgotten, in milliseconds. */
const FORGET_MS = FRESH_MS + RISE_MS;

/** Instances remembered for each service. */
const MAX_INSTANCES = 64;

/** Services remembered. */
const MAX_SERVICES = 256;

const PERMILLE = 1_000;

interface KnownSignal {
  readonly signal: LoadSignal;
  readonly sequence: number;
  readonly receivedAtMs: number;
}

interface KnownService {
  readonly instances: Map<number, KnownSignal>;
  /** When an instance last asked for less than everything. */
  overloadedAtMs: number;
}

/** Latest signals by service and instance; old ones lose their weight. */
export class ServiceLevels {
  readonly #clock: Clock;
  readonly #services = new Map<string, KnownService>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes a signal, unless a later one of the same instance is known. */
  observe(signal: LoadSignal): void {
    const { service, instance, sequence } = signal;
    if (instance === undefined || sequence === undefined) {
      return;
    }
    const known = this.#findService(service);
    const { instances } = known;
    if (sequence <= (instances.get(instance)?.sequence ?? -1)) {
      return;
    }
    const receivedAtMs = this.#clock.monotonicMs();
    instances.delete(instance);
    instances.set(instance, { signal, sequence, receivedAtMs });
    if (signal.admitLevel < 1) {
      known.overloadedAtMs = receivedAtMs;
    }
    keepLatest(instances, MAX_INSTANCES);
  }

  /** Share of a class that the service asks to admit, over its known instances. */
  computeRatio(service: string, classRank: number): number {
    const nowMs = this.#clock.monotonicMs();
    let demand = 0;
    let admitted = 0;
    for (const { signal, receivedAtMs } of this.#listFresh(service)) {
      const ageMs = nowMs - receivedAtMs;
      const weight = Math.max(1, signal.demandPerSecond ?? 0) *
        2 ** (-ageMs / HALF_WEIGHT_MS);
      const rise = Math.max(0, ageMs - FRESH_MS) / RISE_MS;
      demand += weight;
      admitted += weight * Math.min(1, readRatio(signal, classRank) + rise);
    }
    return demand === 0 ? 1 : admitted / demand;
  }

  /**
   * Signals to pass on: those of services that are or lately were overloaded,
   * so that the end of an overload becomes known as fast as its begin.
   */
  listOverloaded(services: readonly string[]): LoadSignal[] {
    const nowMs = this.#clock.monotonicMs();
    return services
      .filter((service) => {
        const known = this.#services.get(service);
        return known && nowMs - known.overloadedAtMs < FORGET_MS;
      })
      .flatMap((service) =>
        this.#listFresh(service).map(({ signal }) => signal)
      );
  }

  #findService(service: string): KnownService {
    const known = this.#services.get(service) ??
      { instances: new Map(), overloadedAtMs: Number.NEGATIVE_INFINITY };
    this.#services.set(service, known);
    keepLatest(this.#services, MAX_SERVICES);
    return known;
  }

  #listFresh(service: string): KnownSignal[] {
    const instances = this.#services.get(service)?.instances;
    if (!instances) {
      return [];
    }
    const nowMs = this.#clock.monotonicMs();
    for (const [instance, { receivedAtMs }] of instances) {
      if (nowMs - receivedAtMs >= FORGET_MS) {
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

function keepLatest<K>(map: Map<K, unknown>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) {
      return;
    }
    map.delete(key);
  }
}
