/**
 * Choice by locality, then by own calls in flight.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { RandomSource } from "../time/mod.ts";
import { InstanceChooser } from "./instance_chooser.ts";
import type { AttemptReport, ChoiceOptions } from "./instance_chooser.ts";

/** Where the choosing daemon is. */
export interface Locality {
  readonly region: string;
  readonly failureDomain: string;
}

/** Prefers the own failure domain, then the own region; of two random instances takes the less used. */
export class LocalFirstChooser extends InstanceChooser {
  readonly #random: RandomSource;
  readonly #locality: Locality;
  readonly #inFlight = new Map<string, number>();

  constructor(random: RandomSource, locality: Locality) {
    super();
    this.#random = random;
    this.#locality = locality;
  }

  override choose(
    candidates: readonly MemberRecord[],
    options: ChoiceOptions,
  ): MemberRecord | undefined {
    const usable = candidates.filter(({ incarnation }) =>
      !options.excluded.has(incarnation)
    );
    const sameDomain = usable.filter(({ failureDomain }) =>
      failureDomain === this.#locality.failureDomain
    );
    const sameRegion = usable.filter(({ region }) =>
      region === this.#locality.region
    );
    const nearest =
      [sameDomain, sameRegion, usable].find((instances) =>
        instances.length > 0
      ) ?? [];
    return this.#chooseLessUsed(
      this.#random.choose(nearest),
      this.#random.choose(nearest),
    );
  }

  override begin(instance: MemberRecord): void {
    this.#inFlight.set(instance.incarnation, this.#countInFlight(instance) + 1);
  }

  override end(instance: MemberRecord, _report: AttemptReport): void {
    const remaining = this.#countInFlight(instance) - 1;
    if (remaining > 0) {
      this.#inFlight.set(instance.incarnation, remaining);
    } else {
      this.#inFlight.delete(instance.incarnation);
    }
  }

  #countInFlight(instance: MemberRecord): number {
    return this.#inFlight.get(instance.incarnation) ?? 0;
  }

  #chooseLessUsed(
    one: MemberRecord | undefined,
    other: MemberRecord | undefined,
  ): MemberRecord | undefined {
    if (!one || !other) {
      return one ?? other;
    }
    return this.#countInFlight(one) <= this.#countInFlight(other) ? one : other;
  }
}
