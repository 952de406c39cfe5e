/**
 * Routing in a modelled fleet of two regions: calls stay in the region that they
 * come from, unless an instance of the other one is expected to be sooner.
 */

import type { EntryAdmission, InboundAdmission } from "../admission/mod.ts";
import type { RandomSource } from "../time/mod.ts";
import { chooseLessLoaded } from "./choose_less_loaded.ts";
import type { ModelInstance } from "./model_instance.ts";

/** One-way delay between the regions, in milliseconds. */
export const REGION_DELAY_MS = 30;

/** Expected time of a call on an instance of usual speed that has a free slot, in milliseconds. */
const CALL_MS = 50;

/** Where the instances of a fleet are, and where requests enter. */
export interface RegionRoutingOptions {
  readonly instances: ReadonlyMap<InboundAdmission, ModelInstance>;
  /** Number of the region of each instance, 0 or 1. */
  readonly regions: ReadonlyMap<InboundAdmission, number>;
  /** Share of the requests that enter in region 0. */
  readonly firstRegionRatio: number;
}

/** Where a call comes from, and which instances it may go to. */
export interface RoutedCall {
  readonly region: number;
  readonly gates: readonly InboundAdmission[];
}

/** Chooses entries and instances by region. */
export class RegionRouting {
  readonly #options: RegionRoutingOptions;

  constructor(options: RegionRoutingOptions) {
    this.#options = options;
  }

  /** Draws the region in which a request enters. */
  drawRegion(random: RandomSource): number {
    return Number(random.nextFloat() >= this.#options.firstRegionRatio);
  }

  /** Lists the entries of a region. */
  listEntries(
    entries: readonly EntryAdmission[],
    region: number,
  ): readonly EntryAdmission[] {
    return entries.filter((_, index) => index % 2 === region);
  }

  /** Returns the region of an instance. */
  getRegion(gate: InboundAdmission): number {
    return this.#options.regions.get(gate) ?? 0;
  }

  /** Chooses the less loaded of two random instances of each region, and the nearer of these unless it is slower by more than the way to the other. */
  chooseGate(
    { region, gates }: RoutedCall,
    random: RandomSource,
  ): InboundAdmission | undefined {
    const isNear = (gate: InboundAdmission) => this.getRegion(gate) === region;
    const near = chooseLessLoaded(gates.filter(isNear), random);
    const far = chooseLessLoaded(gates.filter((gate) => !isNear(gate)), random);
    return near && far &&
        this.#estimateMs(near) <= this.#estimateMs(far) + 2 * REGION_DELAY_MS
      ? near
      : far ?? near;
  }

  #estimateMs(gate: InboundAdmission): number {
    const { inFlight, queued, limit } = gate.describeLoad("");
    const speed = this.#options.instances.get(gate)?.speed ?? 1;
    return CALL_MS / speed * Math.max(1, (inFlight + queued + 1) / limit);
  }
}
