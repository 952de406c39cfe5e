/**
 * Instances of a service by how near they are.
 */

import type { MemberRecord } from "../generated/types.ts";
import { chooseSubset } from "./choose_subset.ts";

/** Where the choosing daemon is. */
export interface Locality {
  readonly incarnation: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Instances that are equally near. */
export interface LocalityTier {
  readonly isOwnRegion: boolean;
  /** Time on the network there and back, in milliseconds. */
  readonly distanceMs: number;
  readonly instances: readonly MemberRecord[];
}

/** Instances that one daemon uses in each tier. */
const SUBSET_SIZE = 8;

/** Services whose tiers are kept. */
const MAX_SERVICES = 256;

const SAME_REGION_DISTANCE_MS = 1;
const OTHER_REGION_DISTANCE_MS = 60;

/** Sorts instances into tiers and keeps the result while the records stay the same. */
export class LocalityTiers {
  readonly #own: Locality;
  readonly #kept = new Map<
    string,
    { records: readonly MemberRecord[]; tiers: readonly LocalityTier[] }
  >();

  constructor(own: Locality) {
    this.#own = own;
  }

  /** The tiers of a service, the nearest first. */
  group(
    service: string,
    records: readonly MemberRecord[],
  ): readonly LocalityTier[] {
    const kept = this.#kept.get(service);
    if (kept && isSameList(kept.records, records)) {
      return kept.tiers;
    }
    if (this.#kept.size >= MAX_SERVICES) {
      this.#kept.clear();
    }
    const tiers = this.#sort(records);
    this.#kept.set(service, { records, tiers });
    return tiers;
  }

  #sort(records: readonly MemberRecord[]): LocalityTier[] {
    const isHere = (record: MemberRecord) =>
      record.incarnation === this.#own.incarnation;
    const isNear = (record: MemberRecord) =>
      record.failureDomain === this.#own.failureDomain;
    const isOwnRegion = (record: MemberRecord) =>
      record.region === this.#own.region;
    return [
      this.#createTier(records.filter(isHere), {
        isOwnRegion: true,
        distanceMs: 0,
      }),
      this.#createTier(
        records.filter((record) => isNear(record) && !isHere(record)),
        { isOwnRegion: true, distanceMs: 0 },
      ),
      this.#createTier(
        records.filter((record) => isOwnRegion(record) && !isNear(record)),
        { isOwnRegion: true, distanceMs: SAME_REGION_DISTANCE_MS },
      ),
      this.#createTier(records.filter((record) => !isOwnRegion(record)), {
        isOwnRegion: false,
        distanceMs: OTHER_REGION_DISTANCE_MS,
      }),
    ];
  }

  #createTier(
    records: readonly MemberRecord[],
    place: Omit<LocalityTier, "instances">,
  ): LocalityTier {
    const { incarnation } = this.#own;
    return {
      ...place,
      instances: chooseSubset(incarnation, records, SUBSET_SIZE),
    };
  }
}

function isSameList(
  one: readonly MemberRecord[],
  other: readonly MemberRecord[],
): boolean {
  return one === other ||
    (one.length === other.length &&
      one.every((record, index) => record === other[index]));
}
