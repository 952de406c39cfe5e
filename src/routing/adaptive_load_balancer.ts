/**
 * Choice by expected wait: two random instances of each tier are compared, and
 * a tier further away is used only when it promises a clearly shorter wait.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { MemberRecord } from "../generated/types.ts";
import { REASONS } from "../outcome/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { computeWarmRatio } from "./compute_warm_ratio.ts";
import { estimateCost, estimateWaitMs } from "./estimate_wait.ts";
import type { EstimateContext } from "./estimate_wait.ts";
import { LoadBalancer, NO_INSTANCE } from "./load_balancer.ts";
import type {
  AttemptReport,
  BodySize,
  ChoiceOptions,
  ChoiceRefusal,
} from "./load_balancer.ts";
import type { InstanceStats } from "./instance_stats.ts";
import { isWorthTheWay } from "./is_worth_the_way.ts";
import type { Prospect } from "./is_worth_the_way.ts";
import type { LinkBudget } from "./link_budget.ts";
import { LocalityTiers } from "./locality_tiers.ts";
import type { Locality, LocalityTier } from "./locality_tiers.ts";
import { ObservedInstances } from "./observed_instances.ts";
import type { OutlierListener } from "./outlier_detector.ts";

/** Costs whose ratio is smaller count as equal, so that no instance is left unused for little. */
const TIE_RATIO = 1.5;

/** Dependencies of the choice. */
export interface AdaptiveLoadBalancerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly locality: Locality;
  readonly linkBudget: LinkBudget;
  readonly reportOutlier: OutlierListener;
}

interface Candidate extends Prospect {
  readonly record: MemberRecord;
}

/** Chooses by locality, own observations, aged load hints and the budget of the region link. */
export class AdaptiveLoadBalancer extends LoadBalancer {
  readonly #options: AdaptiveLoadBalancerOptions;
  readonly #tiers: LocalityTiers;
  readonly #observed: ObservedInstances;

  constructor(options: AdaptiveLoadBalancerOptions) {
    super();
    this.#options = options;
    this.#tiers = new LocalityTiers(options.locality);
    this.#observed = new ObservedInstances(options);
  }

  override choose(
    records: readonly MemberRecord[],
    options: ChoiceOptions,
  ): Result<MemberRecord, ChoiceRefusal> {
    const tiers = this.#tiers.group(options.service, records);
    this.#observed.setSiblings(options.service, tiers);
    const usable = tiers.map((tier) => this.#filterUsable(tier, options));
    const near = this.#compareTiers(
      usable.filter(({ isOwnRegion }) => isOwnRegion),
      options,
    );
    const probe = this.#chooseProbe(
      tiers.filter(({ isOwnRegion }) => isOwnRegion || !near),
      options,
    );
    if (probe) {
      this.#observed.outliers.beginProbe(probe.incarnation);
      return ok(probe);
    }
    const hasLocalCopy = tiers.some(({ isOwnRegion, instances }) =>
      isOwnRegion && instances.some((each) => this.#isInUse(each))
    );
    if (options.isBulk && hasLocalCopy) {
      return near ? ok(near.record) : err(this.#refuseCrossing(options));
    }
    return this.#chooseWithFar(
      near,
      usable.filter(({ isOwnRegion }) => !isOwnRegion),
      options,
    );
  }

  override begin(instance: MemberRecord, body: BodySize): void {
    this.#observed.begin(instance, body);
  }

  override end(instance: MemberRecord, report: AttemptReport): void {
    this.#observed.end(instance, report);
  }

  /** Forgets instances that are not listed any more. */
  retain(incarnations: ReadonlySet<string>): void {
    this.#observed.retain(incarnations);
  }

  #chooseWithFar(
    near: Candidate | undefined,
    farTiers: readonly LocalityTier[],
    options: ChoiceOptions,
  ): Result<MemberRecord, ChoiceRefusal> {
    const far = this.#compareTiers(farTiers, options);
    if (!far || (near && !isWorthTheWay(near, far, options))) {
      return near ? ok(near.record) : err(NO_INSTANCE);
    }
    if (this.#options.linkBudget.mayCross(options)) {
      return ok(far.record);
    }
    return near ? ok(near.record) : err(this.#refuseCrossing(options));
  }

  #refuseCrossing(options: ChoiceOptions): ChoiceRefusal {
    const retryAfterMs = this.#options.linkBudget.estimateDelayMs(options);
    return { reason: REASONS.linkBudget, retryAfterMs };
  }

  #compareTiers(
    tiers: readonly LocalityTier[],
    options: ChoiceOptions,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const tier of tiers) {
      const candidate = this.#chooseOfTwo(tier);
      if (
        candidate && (!best || isWorthTheWay(best, candidate, options))
      ) {
        best = candidate;
      }
    }
    return best;
  }

  #chooseOfTwo(tier: LocalityTier): Candidate | undefined {
    const { random } = this.#options;
    const { instances } = tier;
    const index = random.nextInteger(instances.length);
    const offset = 1 + random.nextInteger(instances.length - 1);
    const one = instances[index];
    const other = instances[(index + offset) % instances.length];
    if (!one || !other) {
      return undefined;
    }
    const oneContext = this.#createContext(one, tier);
    const otherContext = this.#createContext(other, tier);
    const oneStats = this.#observed.read(one);
    const otherStats = this.#observed.read(other);
    const isOneBetter = estimateCost(oneStats, oneContext) <=
      estimateCost(otherStats, otherContext) * TIE_RATIO;
    return isOneBetter
      ? createCandidate(one, oneStats, oneContext)
      : createCandidate(other, otherStats, otherContext);
  }

  #createContext(record: MemberRecord, tier: LocalityTier): EstimateContext {
    const { clock } = this.#options;
    const { incarnation, slots, warmAtMs, service } = record;
    const warmRatio = Math.min(
      computeWarmRatio(warmAtMs, clock.nowMs()),
      this.#observed.outliers.readWarmRatio(incarnation),
    );
    return {
      nowMs: clock.monotonicMs(),
      usualLatencyMs: this.#observed.readUsualLatencyMs(service),
      slots,
      warmRatio,
      distanceMs: tier.distanceMs,
    };
  }

  #chooseProbe(
    tiers: readonly LocalityTier[],
    options: ChoiceOptions,
  ): MemberRecord | undefined {
    if (!options.isRepeatable || options.isBulk) {
      return undefined;
    }
    const { outliers } = this.#observed;
    return tiers.flatMap(({ instances }) => instances)
      .find(({ incarnation }) =>
        !options.excluded.has(incarnation) && outliers.isProbeDue(incarnation)
      );
  }

  #filterUsable(tier: LocalityTier, options: ChoiceOptions): LocalityTier {
    const instances = tier.instances.filter((record) =>
      !options.excluded.has(record.incarnation) && this.#isInUse(record)
    );
    return { ...tier, instances };
  }

  #isInUse({ incarnation }: MemberRecord): boolean {
    return !this.#observed.outliers.isEjected(incarnation);
  }
}

function createCandidate(
  record: MemberRecord,
  stats: InstanceStats,
  context: EstimateContext,
): Candidate {
  const { nowMs, slots } = context;
  return {
    record,
    waitMs: estimateWaitMs(stats, context),
    utilization: stats.readLoad(nowMs) / stats.readLimit(slots),
    overloadRatio: stats.readOverloadRatio(nowMs),
  };
}
