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
import { ModelProcessor } from "./model_processor.ts";

/** Instances of a service and their slots. */
export interface TreeService {
  readonly instances: number;
  readonly slots: number;
  /** Speeds that the instances have in turn, relative to the stated work times; 1 by default. */
  readonly speeds?: readonly number[];
}

/** Options of {@link createTreeFleet}. */
export interface TreeFleetOptions {
  readonly clock: ManualClock;
  readonly seed: number;
  readonly entries: number;
  readonly services: Readonly<Record<string, TreeService>>;
  /** Whether the daemons of the services need processor time; not by default. */
  readonly hasProcessors?: boolean;
}

/** Number of classes. */
const CLASSES = 3;

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
  { clock, seed, entries, services, hasProcessors }: TreeFleetOptions,
): TreeFleet {
  const metrics = new DaemonMetrics();
  const journal = new DecisionJournal(clock);
  const speeds = new Map<InboundAdmission, number>();
  const processors = new Map<InboundAdmission, ModelProcessor>();
  const createGate = (
    { slots, speeds: serviceSpeeds = [1] }: TreeService,
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
    speeds.set(gate, serviceSpeeds[instance % serviceSpeeds.length] ?? 1);
    return gate;
  };
  return {
    ...{ speeds, processors },
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
