/**
 * Entries and gates of services for {@link CallTreeLoad}.
 */

import {
  AdaptiveAdmission,
  ThrottledEntryAdmission,
} from "../admission/mod.ts";
import type { InboundAdmission } from "../admission/mod.ts";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { RandomSource } from "../time/mod.ts";
import type { TreeFleet } from "./call_tree_load.ts";
import type { ManualClock } from "./manual_clock.ts";
import { ModelInstance } from "./model_instance.ts";
import type { InstanceConditions } from "./model_instance.ts";
import { ModelProcessor } from "./model_processor.ts";
import { RegionRouting } from "./region_routing.ts";

/** Instances of a service and their slots. */
export interface TreeService {
  readonly instances: number;
  readonly slots: number;
  /** Speeds that the instances have in turn, relative to the stated work times; 1 by default. */
  readonly speeds?: readonly number[];
  readonly slowPeriods?: InstanceConditions["slowPeriods"];
  readonly saturation?: InstanceConditions["saturation"];
}

/** Options of {@link createTreeFleet}. */
export interface TreeFleetOptions {
  readonly clock: ManualClock;
  readonly seed: number;
  readonly entries: number;
  readonly services: Readonly<Record<string, TreeService>>;
  /** Whether the daemons of the services need processor time; not by default. */
  readonly hasProcessors?: boolean;
  /** Share of the requests that enter in the first of two regions, in which entries and instances lie in turn; a single region by default. */
  readonly firstRegionRatio?: number;
}

/** Number of classes. */
const CLASSES = 3;

/** Number of regions of a fleet that is not in one. */
const REGIONS = 2;

/** Distance between the seeds of the instances of two fleets. */
const INSTANCE_SEEDS = 1_000;

/**
 * Creates daemons without any counts.
 *
 * @param options - Number of entries, services and seed
 * @returns The entries and the gates by service
 *
 * @example
 * const fleet = createTreeFleet({ clock, seed: 1, entries: 12, services: { front: { instances: 12, slots: 2 } } });
 */
export function createTreeFleet(
  options: TreeFleetOptions,
): TreeFleet {
  const { clock, seed, entries, services, hasProcessors } = options;
  const { firstRegionRatio } = options;
  const metrics = new DaemonMetrics();
  const journal = new DecisionJournal(clock);
  const instances = new Map<InboundAdmission, ModelInstance>();
  const regions = new Map<InboundAdmission, number>();
  const processors = new Map<InboundAdmission, ModelProcessor>();
  const createGate = (
    { slots, speeds = [1], ...conditions }: TreeService,
    instance: number,
  ) => {
    const processor = hasProcessors ? new ModelProcessor(clock) : undefined;
    const gate = new AdaptiveAdmission({
      ...{ clock, journal, metrics, instance, processor },
      listReservedRatios: () => Array(CLASSES).fill(0),
    });
    gate.setCapacity(slots);
    if (processor) {
      processors.set(gate, processor);
    }
    const speed = speeds[instance % speeds.length] ?? 1;
    const instanceSeed = seed * INSTANCE_SEEDS + instances.size;
    instances.set(
      gate,
      new ModelInstance(
        { ...conditions, slots, speed },
        { clock, seed: instanceSeed },
      ),
    );
    regions.set(gate, instance % REGIONS);
    return gate;
  };
  return {
    ...{ instances, processors },
    ...firstRegionRatio !== undefined && {
      routing: new RegionRouting({ instances, regions, firstRegionRatio }),
    },
    entries: Array.from(
      { length: entries },
      (_, index) =>
        new ThrottledEntryAdmission({
          ...{ clock, journal, metrics, readLowestRank: () => CLASSES - 1 },
          random: new RandomSource(seed * entries + index + 1),
        }),
    ),
    gatesByService: new Map(
      Object.entries(services).map(([name, service]) => [
        name,
        Array.from(
          { length: service.instances },
          (_, index) => createGate(service, index),
        ),
      ]),
    ),
  };
}
