/**
 * Power of two random choices within each tier, by expected response time.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { RandomSource } from "../time/mod.ts";
import { computeSlowStartWeight } from "./compute_slow_start_weight.ts";
import { createCandidate } from "./create_candidate.ts";
import type { Candidate } from "./create_candidate.ts";
import { estimateCost, estimateWaitMs } from "./estimate_wait.ts";
import type { EstimateContext } from "./estimate_wait.ts";
import type { InstanceStatsRegistry } from "./instance_stats_registry.ts";
import type { PickOptions } from "./load_balancer.ts";
import type { LocalityTier } from "./locality_tiers.ts";
import { shouldSpillOver } from "./should_spill_over.ts";

/** Costs within this ratio count as equal, so that a small difference does not leave an instance unused. */
const TIE_RATIO = 1.5;

/** The same where VMs state their momentary slowness, which tells more than small differences of averages. */
const STATED_TIE_RATIO = 1.1;

/** A pick in progress; all its candidates are compared at the same time. */
export interface Search {
  readonly options: PickOptions;
  /** Time of day, in milliseconds since the epoch. */
  readonly nowMs: number;
  readonly monotonicMs: number;
}

/** Dependencies of the chooser. */
export interface InstanceChooserOptions {
  readonly random: RandomSource;
  readonly stats: InstanceStatsRegistry;
}

/** Compares instances, and remembers how soon those would have completed that were not chosen. */
export class InstanceChooser {
  readonly #options: InstanceChooserOptions;
  /** Lowest expected time to completion among the instances that the last pick compared and did not choose. */
  #elsewhereMs = Number.POSITIVE_INFINITY;

  constructor(options: InstanceChooserOptions) {
    this.#options = options;
  }

  /** Expected time to completion at the best instance that was not chosen since {@link reset}, in milliseconds; undefined if unknown. */
  get elsewhereMs(): number | undefined {
    return Number.isFinite(this.#elsewhereMs) ? this.#elsewhereMs : undefined;
  }

  /** Starts a pick. */
  reset(): void {
    this.#elsewhereMs = Number.POSITIVE_INFINITY;
  }

  /** Picks from the nearest tier, or from a farther one that is clearly better. */
  pickFromTiers(
    tiers: readonly LocalityTier[],
    search: Search,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const tier of tiers) {
      const candidate = this.pickOfTwo(tier, search);
      if (
        candidate &&
        (!best || shouldSpillOver(best, candidate, search.options))
      ) {
        best = candidate;
      }
    }
    return best;
  }

  /** Picks the better of two random instances of a tier. */
  pickOfTwo(tier: LocalityTier, search: Search): Candidate | undefined {
    const { random, stats } = this.#options;
    const { instances } = tier;
    const index = random.nextInteger(instances.length);
    const offset = 1 + random.nextInteger(instances.length - 1);
    const first = instances[index];
    const second = instances[(index + offset) % instances.length];
    if (!first || !second) {
      return undefined;
    }
    const firstContext = this.#createContext(first, tier, search);
    const secondContext = this.#createContext(second, tier, search);
    const firstStats = stats.getStats(first);
    const secondStats = stats.getStats(second);
    const isStated = firstStats.slowness.isStated(search.monotonicMs) ||
      secondStats.slowness.isStated(search.monotonicMs);
    const isFirstBetter = estimateCost(firstStats, firstContext) <=
      estimateCost(secondStats, secondContext) *
        (isStated ? STATED_TIE_RATIO : TIE_RATIO);
    if (isStated && first !== second) {
      this.noteElsewhere(
        isFirstBetter
          ? estimateWaitMs(secondStats, secondContext)
          : estimateWaitMs(firstStats, firstContext),
      );
    }
    return isFirstBetter
      ? createCandidate(first, firstStats, firstContext)
      : createCandidate(second, secondStats, secondContext);
  }

  /** Records the expected time to completion at an instance that is not chosen. */
  noteElsewhere(waitMs: number): void {
    this.#elsewhereMs = Math.min(this.#elsewhereMs, waitMs);
  }

  #createContext(
    record: MemberRecord,
    tier: LocalityTier,
    { nowMs, monotonicMs }: Search,
  ): EstimateContext {
    const { stats } = this.#options;
    const { incarnation, slots, warmAtMs, service } = record;
    const slowStartWeight = Math.min(
      computeSlowStartWeight(warmAtMs, nowMs),
      stats.outliers.getSlowStartWeight(incarnation),
    );
    return {
      nowMs: monotonicMs,
      serviceLatencyMs: stats.getServiceLatencyMs(service),
      slots,
      slowStartWeight,
      networkLatencyMs: tier.networkLatencyMs,
    };
  }
}
