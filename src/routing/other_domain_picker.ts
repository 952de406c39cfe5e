/**
 * Picks instances of other failure domains: for calls that leave by their share,
 * and, until the shares have followed the demand, for calls that would queue in
 * their own domain.
 */

import type { Candidate } from "./create_candidate.ts";
import type { InstanceChooser, Search } from "./instance_chooser.ts";
import type { InstanceFilter } from "./instance_filter.ts";
import type { InstanceStatsRegistry } from "./instance_stats_registry.ts";
import type { LinkBudget } from "./link_budget.ts";
import type { LocalityTier } from "./locality_tiers.ts";
import type { SpillController } from "./spill_controller.ts";

/** Utilization of the best instance of the own domain from which a call would queue there. */
const FULL_UTILIZATION = 1;

/** Utilization below which an instance of another domain has room. */
const ROOMY_UTILIZATION = 0.85;

/** Share of the expected wait in the own domain that a call must save. */
const MIN_GAIN_RATIO = 0.3;

/** Share of the target latency that a call must save to leave the region, whose link is narrow. */
const MIN_REGION_GAIN_RATIO = 0.25;

/** Dependencies of the picker. */
export interface OtherDomainPickerOptions {
  readonly stats: InstanceStatsRegistry;
  readonly filter: InstanceFilter;
  readonly chooser: InstanceChooser;
  readonly linkBudget: LinkBudget;
}

/** A call for which an instance is picked. */
export interface OverflowCall {
  /** Best instance of the own domain; undefined if all were tried. */
  readonly own: Candidate | undefined;
  readonly search: Search;
  readonly controller: SpillController;
}

/** Picks instances outside the own failure domain. */
export class OtherDomainPicker {
  readonly #options: OtherDomainPickerOptions;

  constructor(options: OtherDomainPickerOptions) {
    this.#options = options;
  }

  /** Picks an instance of a domain; undefined if none may take the call. */
  pickInDomain(
    domain: string,
    otherTiers: readonly LocalityTier[],
    search: Search,
  ): Candidate | undefined {
    for (const tier of otherTiers) {
      const picked = this.#pickFromTier(tier, {
        search,
        isOpen: (failureDomain) => failureDomain === domain,
      });
      if (picked) {
        return picked;
      }
    }
    return undefined;
  }

  /**
   * Picks an instance for a call that would queue; undefined if it stays in its
   * domain. Only for services whose instances state their slowness: the instance
   * then hands the call back if it has no idle slot.
   */
  pickOverflow(
    otherTiers: readonly LocalityTier[],
    { own, search, controller }: OverflowCall,
  ): Candidate | undefined {
    const { chooser, stats } = this.#options;
    const isFull = !own || own.utilization >= FULL_UTILIZATION;
    const mayLeave = stats.isSlownessStated(search.options.service) &&
      controller.overflow.check(isFull);
    for (const tier of mayLeave ? otherTiers : []) {
      const candidate = this.#pickFromTier(tier, {
        search,
        isOpen: (failureDomain) => !controller.receivesFrom(failureDomain),
      });
      const hasRoom = candidate &&
        candidate.utilization < ROOMY_UTILIZATION;
      if (hasRoom && (!own || this.#pays(own, candidate, { tier, search }))) {
        if (own) {
          chooser.noteElsewhere(own.waitMs / Math.max(1, own.utilization));
        }
        return candidate;
      }
    }
    return undefined;
  }

  #pickFromTier(
    tier: LocalityTier,
    { search, isOpen }: {
      readonly search: Search;
      readonly isOpen: (failureDomain: string) => boolean;
    },
  ): Candidate | undefined {
    const { chooser, filter, linkBudget } = this.#options;
    const { options } = search;
    if (!tier.isOwnRegion && (options.isBulk || !linkBudget.allows(options))) {
      return undefined;
    }
    const { instances } = filter.filterAvailable(tier, options);
    const open = instances.filter(({ failureDomain }) => isOpen(failureDomain));
    return open.length > 0
      ? chooser.pickOfTwo({ ...tier, instances: open }, search)
      : undefined;
  }

  #pays(
    own: Candidate,
    other: Candidate,
    { tier, search }: {
      readonly tier: LocalityTier;
      readonly search: Search;
    },
  ): boolean {
    const { targetLatencyMs = 0 } = search.options;
    const gainMs = own.waitMs - other.waitMs;
    return gainMs >= own.waitMs * MIN_GAIN_RATIO &&
      (tier.isOwnRegion || gainMs > targetLatencyMs * MIN_REGION_GAIN_RATIO);
  }
}
