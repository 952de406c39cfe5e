/**
 * Observations of all instances that this daemon uses.
 */

import type { MemberRecord } from "../generated/types.ts";
import { REASONS } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { AttemptReport, BodySize } from "./load_balancer.ts";
import { InstanceStats } from "./instance_stats.ts";
import type { LinkBudget } from "./link_budget.ts";
import type { Locality, LocalityTier } from "./locality_tiers.ts";
import { CONNECT_FAILURE_WEIGHT, OutlierDetector } from "./outlier_detector.ts";
import type { OutlierListener } from "./outlier_detector.ts";

/** Latency assumed before any was observed, in milliseconds. */
const FIRST_LATENCY_MS = 1;

/** Weights of samples above and below the usual latency of a service. */
const USUAL_RISE_WEIGHT = 0.02;
const USUAL_FALL_WEIGHT = 0.1;

/** Services that are remembered. */
const MAX_SERVICES = 256;

/** Reasons that speak against an instance. */
const FAILURE_REASONS: ReadonlySet<string> = new Set([
  REASONS.connectFailed,
  REASONS.noBackendServer,
  REASONS.backendFailed,
]);

/** Reasons that tell of more calls than the instance can run. */
const OVERLOAD_REASONS: ReadonlySet<string> = new Set([
  REASONS.overloadedInstance,
  REASONS.queueExpired,
  REASONS.backendRefused,
]);

/** Dependencies of the observations. */
export interface ObservedInstancesOptions {
  readonly clock: Clock;
  readonly locality: Locality;
  readonly linkBudget: LinkBudget;
  readonly reportOutlier: OutlierListener;
}

interface Siblings {
  readonly tiers: readonly LocalityTier[];
  readonly incarnations: readonly string[];
}

/** Latency, load, health and link use by instance. */
export class ObservedInstances {
  readonly outliers: OutlierDetector;
  readonly #options: ObservedInstancesOptions;
  readonly #stats = new Map<string, InstanceStats>();
  readonly #usualLatencies = new Map<string, number>();
  readonly #siblings = new Map<string, Siblings>();
  readonly #charges = new Map<string, number[]>();

  constructor(options: ObservedInstancesOptions) {
    this.#options = options;
    this.outliers = new OutlierDetector(options.clock, options.reportOutlier);
  }

  /** Observations of one instance. */
  read({ incarnation }: MemberRecord): InstanceStats {
    const known = this.#stats.get(incarnation);
    if (known) {
      return known;
    }
    const stats = new InstanceStats();
    this.#stats.set(incarnation, stats);
    return stats;
  }

  /** Average latency of a service, in milliseconds. */
  readUsualLatencyMs(service: string): number {
    return this.#usualLatencies.get(service) ?? FIRST_LATENCY_MS;
  }

  /** Sets which instances of a service are compared. */
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

  /** An attempt begins. */
  begin(instance: MemberRecord, { isBulk }: BodySize): void {
    const { linkBudget } = this.#options;
    this.read(instance).begin();
    if (this.#isFar(instance)) {
      const charges = this.#charges.get(instance.incarnation) ?? [];
      const { service } = instance;
      charges.push(linkBudget.begin({ service, isBulk }));
      this.#charges.set(instance.incarnation, charges);
    }
  }

  /** An attempt has ended. */
  end(instance: MemberRecord, report: AttemptReport): void {
    const nowMs = this.#options.clock.monotonicMs();
    const stats = this.read(instance);
    stats.end();
    const [hint] = report.loads;
    if (hint) {
      stats.noteHint(hint, nowMs);
    }
    stats.noteOverload(OVERLOAD_REASONS.has(report.reason), nowMs);
    this.#noteLatency(instance, report, nowMs);
    this.#noteHealth(instance, report);
    this.#settleCharge(instance, report);
  }

  /** Forgets instances that are not listed any more. */
  retain(incarnations: ReadonlySet<string>): void {
    this.outliers.retain(incarnations);
    for (const [incarnation, stats] of this.#stats) {
      if (!incarnations.has(incarnation) && stats.inFlight === 0) {
        this.#stats.delete(incarnation);
        this.#charges.delete(incarnation);
      }
    }
  }

  #noteLatency(
    instance: MemberRecord,
    { durationMs, outcome }: AttemptReport,
    nowMs: number,
  ): void {
    const stats = this.read(instance);
    const usualMs = this.readUsualLatencyMs(instance.service);
    const isLowerBound = outcome === "unknown";
    if (
      outcome === "refused" ||
      (isLowerBound && durationMs < stats.readLatencyMs(usualMs, nowMs))
    ) {
      return;
    }
    stats.noteLatency(durationMs, { usualMs, nowMs });
    const known = this.#usualLatencies.get(instance.service) ?? durationMs;
    if (this.#usualLatencies.size >= MAX_SERVICES) {
      this.#usualLatencies.clear();
    }
    const weight = durationMs > known ? USUAL_RISE_WEIGHT : USUAL_FALL_WEIGHT;
    this.#usualLatencies.set(
      instance.service,
      known + weight * (durationMs - known),
    );
  }

  #noteHealth(instance: MemberRecord, report: AttemptReport): void {
    const { incarnation, service } = instance;
    if (report.isErrorAnswer || FAILURE_REASONS.has(report.reason)) {
      const isUnconnected = report.reason === REASONS.connectFailed;
      this.outliers.noteFailure(incarnation, service, {
        siblings: this.#siblings.get(service)?.incarnations ?? [],
        weight: isUnconnected ? CONNECT_FAILURE_WEIGHT : 1,
      });
    } else if (report.outcome === "answered") {
      this.outliers.noteSuccess(incarnation, service);
    } else {
      this.outliers.noteNothing(incarnation);
    }
  }

  #settleCharge(
    instance: MemberRecord,
    { bodyBytes, isBulk }: AttemptReport,
  ): void {
    const { service } = instance;
    const charged = this.#charges.get(instance.incarnation)?.pop();
    if (charged !== undefined) {
      this.#options.linkBudget.end({ service, isBulk }, {
        charged,
        actual: bodyBytes,
      });
    }
  }

  #isFar({ region }: MemberRecord): boolean {
    return region !== this.#options.locality.region;
  }
}
