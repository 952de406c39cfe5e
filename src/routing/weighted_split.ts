/**
 * Division of the requests of one kind among several services.
 *
 * Smooth weighted round robin keeps the shares exact over any stretch of
 * requests, without regard to how the services do: what does not fit into one
 * is refused there, not moved to another.
 */

import type { RandomSource } from "../time/mod.ts";

/** A service and its weight. */
export interface WeightedTarget {
  readonly service: string;
  readonly weight: number;
}

interface Part {
  readonly service: string;
  readonly weight: number;
  credit: number;
}

interface Split {
  readonly key: string;
  readonly totalWeight: number;
  readonly parts: readonly Part[];
}

/** Kinds of request whose division is remembered. */
const MAX_KINDS = 4_096;

/** Divides the requests of each kind by weight. */
export class WeightedSplit {
  readonly #random: RandomSource;
  readonly #splits = new Map<string, Split>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Chooses the service of the next request of a kind; undefined where no weight is above 0. */
  choose(
    kind: string,
    targets: readonly WeightedTarget[],
  ): string | undefined {
    const { parts, totalWeight } = this.#find(kind, targets);
    let best: Part | undefined;
    for (const part of parts) {
      part.credit += part.weight;
      best = best && best.credit >= part.credit ? best : part;
    }
    if (best) {
      best.credit -= totalWeight;
    }
    return best?.service;
  }

  #find(kind: string, targets: readonly WeightedTarget[]): Split {
    const key = targets.map(({ service, weight }) => `${service}=${weight}`)
      .join();
    const known = this.#splits.get(kind);
    if (known?.key === key) {
      return known;
    }
    if (this.#splits.size >= MAX_KINDS) {
      this.#splits.clear();
    }
    const split = this.#create(key, targets);
    this.#splits.set(kind, split);
    return split;
  }

  /** Daemons start at different places, so that their first requests do not all go to the same service. */
  #create(key: string, targets: readonly WeightedTarget[]): Split {
    const used = targets.filter(({ weight }) => weight > 0);
    const totalWeight = used.reduce((sum, { weight }) => sum + weight, 0);
    const phase = this.#random.nextFloat() * totalWeight;
    let reached = 0;
    const parts = used.map(({ service, weight }) => {
      const isDrawn = phase >= reached && phase < reached + weight;
      reached += weight;
      return {
        service,
        weight,
        credit: isDrawn ? totalWeight - weight : -weight,
      };
    });
    return { key, totalWeight, parts };
  }
}
