/**
 * The spill controllers of all services that this daemon calls.
 */

import type { MemberRecord } from "../generated/types.ts";
import { REASONS } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { AttemptReport } from "./load_balancer.ts";
import type { Locality, LocalityTier } from "./locality_tiers.ts";
import { SpillController } from "./spill_controller.ts";
import type { SpillChange } from "./spill_controller.ts";
import type { SpillTarget } from "./spill_direction.ts";

/** Maximum number of services to keep state for. */
const MAX_SERVICES = 256;

/** Reasons of refusals because of load. */
const LOAD_REASONS: ReadonlySet<string> = new Set([
  REASONS.overloadedInstance,
  REASONS.queueExpired,
  REASONS.backendRefused,
]);

/** Reasons that say nothing of the domain. */
const NEUTRAL_REASONS: ReadonlySet<string> = new Set([
  "",
  REASONS.slowInstance,
  REASONS.cancelled,
  REASONS.deadlineExpired,
  REASONS.quarantined,
]);

/** Dependencies of the shares. */
export interface SpillSharesOptions {
  readonly clock: Clock;
  readonly locality: Locality;
  readonly reportChange: (change: SpillChange) => void;
}

/** Controllers by service. */
export class SpillShares {
  readonly #options: SpillSharesOptions;
  readonly #controllers = new Map<string, SpillController>();

  constructor(options: SpillSharesOptions) {
    this.#options = options;
  }

  /** Returns the controller of a service, with its shares corrected if that is due. */
  update(
    service: string,
    { tiers, targetLatencyMs = 0 }: {
      readonly tiers: readonly LocalityTier[];
      readonly targetLatencyMs: number | undefined;
    },
  ): SpillController {
    const controller = this.#getController(service);
    if (controller.isDue) {
      controller.step(this.#listTargets(tiers), targetLatencyMs);
    }
    return controller;
  }

  /** Records the result of an attempt. */
  record(
    { service, failureDomain }: MemberRecord,
    report: AttemptReport,
  ): void {
    const controller = this.#controllers.get(service);
    if (!controller) {
      return;
    }
    const { loads: [load], reason, outcome, spillReceipts } = report;
    const { averageLoad } = report;
    const isRefused = LOAD_REASONS.has(reason);
    controller.record(failureDomain, {
      loadRatio: averageLoad ??
        (load && (load.inFlight + load.queued) / Math.max(1, load.limit)),
      isRefused,
      isFailed: !isRefused && !NEUTRAL_REASONS.has(reason),
      durationMs: outcome === "answered" ? report.durationMs : undefined,
      bytes: report.bodyBytes,
    });
    if (
      spillReceipts && failureDomain === this.#options.locality.failureDomain
    ) {
      controller.recordReceipts(spillReceipts);
    }
  }

  #getController(service: string): SpillController {
    const known = this.#controllers.get(service);
    if (known) {
      return known;
    }
    if (this.#controllers.size >= MAX_SERVICES) {
      this.#controllers.clear();
    }
    const { clock, locality, reportChange } = this.#options;
    const ownDomain = locality.failureDomain;
    const options = { clock, service, ownDomain, reportChange };
    const controller = new SpillController(options);
    this.#controllers.set(service, controller);
    return controller;
  }

  #listTargets(tiers: readonly LocalityTier[]): SpillTarget[] {
    const targets = new Map<string, SpillTarget>();
    for (const { instances, isOwnRegion, networkLatencyMs } of tiers) {
      for (const { failureDomain: domain } of instances) {
        if (domain !== this.#options.locality.failureDomain) {
          targets.set(domain, { domain, isOwnRegion, networkLatencyMs });
        }
      }
    }
    return [...targets.values()];
  }
}
