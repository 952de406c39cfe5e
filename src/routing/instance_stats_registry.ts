/**
 * Statistics, health and link reservations of all instances that this daemon
 * uses.
 */

import type { MemberRecord } from "../generated/types.ts";
import { REASONS } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { AttemptReport, PayloadInfo } from "./load_balancer.ts";
import { InstanceStats } from "./instance_stats.ts";
import type { LinkBudget } from "./link_budget.ts";
import type { Locality, LocalityTier } from "./locality_tiers.ts";
import { CONNECT_FAILURE_WEIGHT, OutlierDetector } from "./outlier_detector.ts";
import type { OutlierListener } from "./outlier_detector.ts";

/** Service latency assumed before the first sample, in milliseconds. */
const INITIAL_LATENCY_MS = 1;

/** Weights in the moving average of samples above and below the average latency of a service. */
const SERVICE_RISE_WEIGHT = 0.02;
const SERVICE_FALL_WEIGHT = 0.1;

/** Time without a slowness figure after which a service no longer counts as one whose instances state them, in milliseconds. */
const STATED_MS = 10_000;

/** Maximum number of services to keep state for. */
const MAX_SERVICES = 256;

/** Slowness assumed for an instance that hands a call back. */
const HANDED_BACK_RATIO = 2;

/** Reasons that count as failures of the instance. */
const FAILURE_REASONS: ReadonlySet<string> = new Set([
  REASONS.connectFailed,
  REASONS.noBackendServer,
  REASONS.backendFailed,
  REASONS.answerTooLarge,
  REASONS.answerTruncated,
  REASONS.answerMismatched,
]);

/** Reasons that indicate an overloaded instance. */
const OVERLOAD_REASONS: ReadonlySet<string> = new Set([
  REASONS.overloadedInstance,
  REASONS.queueExpired,
  REASONS.backendRefused,
]);

/** Dependencies of the registry. */
export interface InstanceStatsRegistryOptions {
  readonly clock: Clock;
  readonly locality: Locality;
  readonly linkBudget: LinkBudget;
  readonly reportOutlier: OutlierListener;
}

interface Siblings {
  readonly tiers: readonly LocalityTier[];
  readonly incarnations: readonly string[];
}

/** Tracks latency, load, health and use of the inter-region link by instance. */
export class InstanceStatsRegistry {
  readonly outliers: OutlierDetector;
  readonly #options: InstanceStatsRegistryOptions;
  readonly #stats = new Map<string, InstanceStats>();
  readonly #serviceLatencies = new Map<string, number>();
  /** When an instance of a service last stated its momentary slowness, in monotonic milliseconds. */
  readonly #statedAtMs = new Map<string, number>();
  readonly #siblings = new Map<string, Siblings>();
  readonly #reservations = new Map<string, number[]>();

  constructor(options: InstanceStatsRegistryOptions) {
    this.#options = options;
    this.outliers = new OutlierDetector(options.clock, options.reportOutlier);
  }

  /** Returns the statistics of an instance, created on first use. */
  getStats({ incarnation }: MemberRecord): InstanceStats {
    const known = this.#stats.get(incarnation);
    if (known) {
      return known;
    }
    const stats = new InstanceStats();
    this.#stats.set(incarnation, stats);
    return stats;
  }

  /** Moving average of a service's latency, in milliseconds. */
  getServiceLatencyMs(service: string): number {
    return this.#serviceLatencies.get(service) ?? INITIAL_LATENCY_MS;
  }

  /** Whether an instance of a service has stated its momentary slowness lately. */
  isSlownessStated(service: string): boolean {
    const atMs = this.#statedAtMs.get(service);
    return atMs !== undefined &&
      this.#options.clock.monotonicMs() - atMs <= STATED_MS;
  }

  /** Sets the instances of a service that outlier detection compares. */
  setSiblings(service: string, tiers: readonly LocalityTier[]): void {
    if (this.#siblings.get(service)?.tiers === tiers) {
      return;
    }
    if (this.#siblings.size >= MAX_SERVICES) {
      this.#siblings.clear();
    }
    const incarnations = tiers.flatMap(({ instances }) =>
      instances.map(({ incarnation }) => incarnation)
    );
    this.#siblings.set(service, { tiers, incarnations });
  }

  /** Records the start of an attempt and reserves link budget if it crosses regions. */
  startAttempt(instance: MemberRecord, { isBulk }: PayloadInfo): void {
    const { linkBudget } = this.#options;
    this.getStats(instance).startCall();
    if (this.#isInOtherRegion(instance)) {
      const reservations = this.#reservations.get(instance.incarnation) ?? [];
      const { service } = instance;
      reservations.push(linkBudget.reserve({ service, isBulk }));
      this.#reservations.set(instance.incarnation, reservations);
    }
  }

  /** Records the result of an attempt. */
  finishAttempt(instance: MemberRecord, report: AttemptReport): void {
    const nowMs = this.#options.clock.monotonicMs();
    const stats = this.getStats(instance);
    stats.finishCall();
    const [load] = report.loads;
    if (load) {
      stats.recordLoad(load, nowMs);
    }
    this.#recordSlowness(instance, report, nowMs);
    stats.recordOverload(OVERLOAD_REASONS.has(report.reason), nowMs);
    this.#recordLatency(instance, report, nowMs);
    this.#recordHealth(instance, report);
    this.#reconcileLinkBudget(instance, report);
  }

  /** Drops the state of instances that are not in the given set; statistics and reservations are kept while calls are in flight. */
  retain(incarnations: ReadonlySet<string>): void {
    this.outliers.retain(incarnations);
    for (const [incarnation, stats] of this.#stats) {
      if (!incarnations.has(incarnation) && stats.inFlight === 0) {
        this.#stats.delete(incarnation);
        this.#reservations.delete(incarnation);
      }
    }
  }

  /** Records the slowness that a reply states. A call that was handed back shows that the VM is slow, but not how slow. */
  #recordSlowness(
    instance: MemberRecord,
    { slowness, reason }: AttemptReport,
    nowMs: number,
  ): void {
    const stats = this.getStats(instance);
    if (slowness) {
      if (this.#statedAtMs.size >= MAX_SERVICES) {
        this.#statedAtMs.clear();
      }
      this.#statedAtMs.set(instance.service, nowMs);
      stats.slowness.observe(slowness.ratio, nowMs - slowness.ageMs);
    } else if (reason === REASONS.slowInstance) {
      const ratio = Math.max(HANDED_BACK_RATIO, stats.slowness.getRatio(nowMs));
      stats.slowness.observe(ratio, nowMs);
    }
  }

  #recordLatency(
    instance: MemberRecord,
    { durationMs, outcome }: AttemptReport,
    nowMs: number,
  ): void {
    const stats = this.getStats(instance);
    const serviceLatencyMs = this.getServiceLatencyMs(instance.service);
    const isLowerBound = outcome === "unknown";
    if (
      outcome === "refused" ||
      (isLowerBound && durationMs < stats.getLatencyMs(serviceLatencyMs, nowMs))
    ) {
      return;
    }
    // The estimate multiplies by the slowness of the moment, so averages are those of a VM as fast as usual.
    const usualMs = durationMs / stats.slowness.getRatio(nowMs);
    stats.recordLatency(usualMs, { serviceLatencyMs, nowMs });
    const known = this.#serviceLatencies.get(instance.service) ?? usualMs;
    if (this.#serviceLatencies.size >= MAX_SERVICES) {
      this.#serviceLatencies.clear();
    }
    const weight = usualMs > known ? SERVICE_RISE_WEIGHT : SERVICE_FALL_WEIGHT;
    this.#serviceLatencies.set(
      instance.service,
      known + weight * (usualMs - known),
    );
  }

  #recordHealth(instance: MemberRecord, report: AttemptReport): void {
    const { incarnation, service } = instance;
    if (report.isErrorAnswer || FAILURE_REASONS.has(report.reason)) {
      const isConnectFailure = report.reason === REASONS.connectFailed;
      this.outliers.recordFailure(incarnation, service, {
        siblings: this.#siblings.get(service)?.incarnations ?? [],
        weight: isConnectFailure ? CONNECT_FAILURE_WEIGHT : 1,
      });
    } else if (report.outcome === "answered") {
      this.outliers.recordSuccess(incarnation, service);
    } else {
      this.outliers.recordInconclusive(incarnation);
    }
  }

  #reconcileLinkBudget(
    instance: MemberRecord,
    { bodyBytes, isBulk }: AttemptReport,
  ): void {
    const { service } = instance;
    const charged = this.#reservations.get(instance.incarnation)?.pop();
    if (charged !== undefined) {
      this.#options.linkBudget.reconcile({ service, isBulk }, {
        charged,
        actual: bodyBytes,
      });
    }
  }

  #isInOtherRegion({ region }: MemberRecord): boolean {
    return region !== this.#options.locality.region;
  }
}
