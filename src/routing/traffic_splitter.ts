/**
 * Weighted traffic splitting of one request kind among several services.
 *
 * Smooth weighted round robin interleaves the services. With integer weights,
 * any run of as many requests as the total weight is split exactly, apart from
 * the first request of a daemon, whose service is random. The state of the
 * services is ignored: requests beyond the capacity of one service are refused
 * there and not moved to another.
 */

import type { RandomSource } from "../time/mod.ts";

/** A service and its weight. */
export interface WeightedTarget {
  readonly service: string;
  readonly weight: number;
}

interface SplitEntry {
  readonly service: string;
  readonly weight: number;
  currentWeight: number;
}

interface Split {
  readonly key: string;
  readonly totalWeight: number;
  readonly entries: readonly SplitEntry[];
}

/** Maximum number of request kinds to keep state for. */
const MAX_REQUEST_KINDS = 4_096;

/** Splits the requests of each kind by weight. */
export class TrafficSplitter {
  readonly #random: RandomSource;
  readonly #splits = new Map<string, Split>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Picks the service for the next request of a kind; undefined if no weight is above 0. */
  pick(
    requestKind: string,
    targets: readonly WeightedTarget[],
  ): string | undefined {
    const { entries, totalWeight } = this.#getSplit(requestKind, targets);
    let best: SplitEntry | undefined;
    for (const entry of entries) {
      entry.currentWeight += entry.weight;
      best = best && best.currentWeight >= entry.currentWeight ? best : entry;
    }
    if (best) {
      best.currentWeight -= totalWeight;
    }
    return best?.service;
  }

  #getSplit(requestKind: string, targets: readonly WeightedTarget[]): Split {
    const key = targets.map(({ service, weight }) => `${service}=${weight}`)
      .join();
    const known = this.#splits.get(requestKind);
    if (known?.key === key) {
      return known;
    }
    if (this.#splits.size >= MAX_REQUEST_KINDS) {
      this.#splits.clear();
    }
    const split = this.#createSplit(key, targets);
    this.#splits.set(requestKind, split);
    return split;
  }

  /** The initial phase is random, so that the first requests of all daemons do not go to the same service. */
  #createSplit(key: string, targets: readonly WeightedTarget[]): Split {
    const used = targets.filter(({ weight }) => weight > 0);
    const totalWeight = used.reduce((sum, { weight }) => sum + weight, 0);
    const phase = this.#random.nextFloat() * totalWeight;
    let cumulativeWeight = 0;
    const entries = used.map(({ service, weight }) => {
      const isFirst = phase >= cumulativeWeight &&
        phase < cumulativeWeight + weight;
      cumulativeWeight += weight;
      return {
        service,
        weight,
        currentWeight: isFirst ? totalWeight - weight : -weight,
      };
    });
    return { key, totalWeight, entries };
  }
}
