/**
 * Groups the instances of a service into locality tiers: this VM, this failure
 * domain, this region, other regions.
 */

import type { MemberRecord } from "../generated/types.ts";
import { chooseSubset } from "./choose_subset.ts";

/** Location of this daemon. */
export interface Locality {
  readonly incarnation: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Instances at the same network distance. */
export interface LocalityTier {
  readonly isOwnRegion: boolean;
  /** Assumed network round-trip time, in milliseconds. */
  readonly networkLatencyMs: number;
  readonly instances: readonly MemberRecord[];
}

/** Maximum number of instances that a daemon uses in each tier. */
const SUBSET_SIZE = 8;

/** Maximum number of services whose tiers are cached. */
const MAX_SERVICES = 256;

const SAME_REGION_LATENCY_MS = 1;
const OTHER_REGION_LATENCY_MS = 60;

/** Groups instances into tiers and caches the result while the records are unchanged. */
export class LocalityTiers {
  readonly #own: Locality;
  readonly #cache = new Map<
    string,
    { records: readonly MemberRecord[]; tiers: readonly LocalityTier[] }
  >();

  constructor(own: Locality) {
    this.#own = own;
  }

  /** Returns the tiers of a service, nearest first. */
  group(
    service: string,
    records: readonly MemberRecord[],
  ): readonly LocalityTier[] {
    const cached = this.#cache.get(service);
    if (cached && haveSameRecords(cached.records, records)) {
      return cached.tiers;
    }
    if (this.#cache.size >= MAX_SERVICES) {
      this.#cache.clear();
    }
    const tiers = this.#createTiers(records);
    this.#cache.set(service, { records, tiers });
    return tiers;
  }

  #createTiers(records: readonly MemberRecord[]): LocalityTier[] {
    const isSelf = (record: MemberRecord) =>
      record.incarnation === this.#own.incarnation;
    const isOwnDomain = (record: MemberRecord) =>
      record.failureDomain === this.#own.failureDomain;
    const isOwnRegion = (record: MemberRecord) =>
      record.region === this.#own.region;
    return [
      this.#createTier(records.filter(isSelf), {
        isOwnRegion: true,
        networkLatencyMs: 0,
      }),
      this.#createTier(
        records.filter((record) => isOwnDomain(record) && !isSelf(record)),
        { isOwnRegion: true, networkLatencyMs: 0 },
      ),
      this.#createTier(
        records.filter((record) => isOwnRegion(record) && !isOwnDomain(record)),
        { isOwnRegion: true, networkLatencyMs: SAME_REGION_LATENCY_MS },
      ),
      this.#createTier(records.filter((record) => !isOwnRegion(record)), {
        isOwnRegion: false,
        networkLatencyMs: OTHER_REGION_LATENCY_MS,
      }),
    ];
  }

  #createTier(
    records: readonly MemberRecord[],
    properties: Omit<LocalityTier, "instances">,
  ): LocalityTier {
    const { incarnation } = this.#own;
    return {
      ...properties,
      instances: chooseSubset(incarnation, records, SUBSET_SIZE),
    };
  }
}

function haveSameRecords(
  first: readonly MemberRecord[],
  second: readonly MemberRecord[],
): boolean {
  return first === second ||
    (first.length === second.length &&
      first.every((record, index) => record === second[index]));
}
