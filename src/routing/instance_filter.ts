/**
 * Which instances may take a call: those in rotation whose pace allows it, and
 * ejected ones that are due for a probe.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { InstancePaces } from "./instance_paces.ts";
import type { InstanceStatsRegistry } from "./instance_stats_registry.ts";
import type { PickOptions } from "./load_balancer.ts";
import type { LocalityTier } from "./locality_tiers.ts";

/** State that the filter reads. */
export interface InstanceFilterOptions {
  readonly paces: InstancePaces;
  readonly stats: InstanceStatsRegistry;
}

/** Filters the instances of a tier. */
export class InstanceFilter {
  readonly #options: InstanceFilterOptions;

  constructor(options: InstanceFilterOptions) {
    this.#options = options;
  }

  /** Whether an instance is not ejected. */
  isInRotation({ incarnation }: MemberRecord): boolean {
    return !this.#options.stats.outliers.isEjected(incarnation);
  }

  /** Returns the tier with only the instances that may take the call. */
  filterAvailable(tier: LocalityTier, options: PickOptions): LocalityTier {
    const isAvailable = (record: MemberRecord) =>
      !options.excluded.has(record.incarnation) &&
      this.isInRotation(record) &&
      this.#options.paces.allows(record, options.classRank);
    return tier.instances.every(isAvailable)
      ? tier
      : { ...tier, instances: tier.instances.filter(isAvailable) };
  }

  /** Whether some instance takes calls, even if it is excluded for this one. */
  hasUsableInstance(
    tiers: readonly LocalityTier[],
    { classRank }: PickOptions,
  ): boolean {
    return tiers.some(({ instances }) =>
      instances.some((record) =>
        this.isInRotation(record) &&
        this.#options.paces.allows(record, classRank)
      )
    );
  }

  /** Whether some instance of the own region takes calls. */
  hasInstanceInRegion(
    tiers: readonly LocalityTier[],
    options: PickOptions,
  ): boolean {
    return this.hasUsableInstance(
      tiers.filter(({ isOwnRegion }) => isOwnRegion),
      options,
    );
  }

  /** Starts the probe of an ejected instance if one is due and the call can be repeated. */
  startProbe(
    tiers: readonly LocalityTier[],
    { isLocalOnly, options }: {
      readonly isLocalOnly: boolean;
      readonly options: PickOptions;
    },
  ): MemberRecord | undefined {
    if (!options.isRepeatable || options.isBulk) {
      return undefined;
    }
    const { outliers } = this.#options.stats;
    for (const { isOwnRegion, instances } of tiers) {
      const probe = isOwnRegion || !isLocalOnly
        ? instances.find(({ incarnation }) =>
          outliers.isProbeDue(incarnation) &&
          !options.excluded.has(incarnation)
        )
        : undefined;
      if (probe) {
        outliers.startProbe(probe.incarnation);
        return probe;
      }
    }
    return undefined;
  }
}
