/**
 * Bound on how much of a failure domain or service is evicted at once.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";

/** Time over which evictions are counted, in milliseconds. */
export const EVICTION_WINDOW_MS = 60_000;

/** Largest share of a failure domain evicted within the window. */
export const MAX_DOMAIN_EVICTION_RATIO = 0.2;

/** Largest share of a service evicted within the window. */
export const MAX_SERVICE_EVICTION_RATIO = 0.5;

/** Evictions allowed in a failure domain of any size. */
const MIN_DOMAIN_EVICTIONS = 2;

/** Evictions allowed in a service of any size. */
const MIN_SERVICE_EVICTIONS = 1;

/** Members that are not dead where an eviction is asked for. */
export interface LiveMemberCounts {
  readonly inDomain: number;
  readonly inService: number;
}

/** Decides whether a member may be evicted now. */
export abstract class EvictionLimiter {
  /** Counts the eviction and tells whether it may happen. */
  abstract tryEvict(record: MemberRecord, sizes: LiveMemberCounts): boolean;
}

interface Eviction {
  readonly atMs: number;
  readonly failureDomain: string;
  readonly service: string;
}

/** Allows a share of each failure domain and each service within the window. */
export class RatioEvictionLimiter extends EvictionLimiter {
  readonly #clock: Clock;
  #evictions: Eviction[] = [];

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override tryEvict(record: MemberRecord, sizes: LiveMemberCounts): boolean {
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
      Math.floor((sizes.inDomain + inDomain) * MAX_DOMAIN_EVICTION_RATIO),
    );
    const serviceLimit = Math.max(
      MIN_SERVICE_EVICTIONS,
      Math.floor((sizes.inService + inService) * MAX_SERVICE_EVICTION_RATIO),
    );
    if (inDomain >= domainLimit || inService >= serviceLimit) {
      return false;
    }
    this.#evictions.push({ atMs, failureDomain, service });
    return true;
  }
}
