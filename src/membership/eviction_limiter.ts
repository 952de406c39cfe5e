/**
 * Limit on the share of a failure domain or service that is evicted within a
 * time window.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";

/** Sliding window over which evictions are counted, in milliseconds. */
export const EVICTION_WINDOW_MS = 60_000;

/** Maximum share of a failure domain evicted within the window. */
export const MAX_DOMAIN_EVICTION_RATIO = 0.2;

/** Maximum share of a service evicted within the window. */
export const MAX_SERVICE_EVICTION_RATIO = 0.5;

/** Evictions allowed within the window regardless of the failure domain's size. */
const MIN_DOMAIN_EVICTIONS = 2;

/** Evictions allowed within the window regardless of the service's size. */
const MIN_SERVICE_EVICTIONS = 1;

/**
 * Number of members that are not dead in the failure domain and service of an
 * eviction candidate.
 */
export interface LiveMemberCounts {
  readonly inDomain: number;
  readonly inService: number;
}

/** Decides whether a member may be evicted. */
export abstract class EvictionLimiter {
  /** Returns whether the eviction is allowed, and counts it if so. */
  abstract tryEvict(
    record: MemberRecord,
    liveMembers: LiveMemberCounts,
  ): boolean;
}

interface Eviction {
  readonly atMs: number;
  readonly failureDomain: string;
  readonly service: string;
}

/** Limits evictions within the window to a share of each failure domain and each service. */
export class RatioEvictionLimiter extends EvictionLimiter {
  readonly #clock: Clock;
  #evictions: Eviction[] = [];

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override tryEvict(
    record: MemberRecord,
    liveMembers: LiveMemberCounts,
  ): boolean {
    const atMs = this.#clock.monotonicMs();
    const { failureDomain, service } = record;
    this.#evictions = this.#evictions.filter((eviction) =>
      atMs - eviction.atMs < EVICTION_WINDOW_MS
    );
    const inDomain =
      this.#evictions.filter((eviction) =>
        eviction.failureDomain === failureDomain
      ).length;
    const inService =
      this.#evictions.filter((eviction) =>
        service !== "" && eviction.service === service
      ).length;
    const domainLimit = Math.max(
      MIN_DOMAIN_EVICTIONS,
      Math.floor((liveMembers.inDomain + inDomain) * MAX_DOMAIN_EVICTION_RATIO),
    );
    const serviceLimit = Math.max(
      MIN_SERVICE_EVICTIONS,
      Math.floor(
        (liveMembers.inService + inService) * MAX_SERVICE_EVICTION_RATIO,
      ),
    );
    if (inDomain >= domainLimit || inService >= serviceLimit) {
      return false;
    }
    this.#evictions.push({ atMs, failureDomain, service });
    return true;
  }
}
