/**
 * Test bench for configuration distribution: a fleet of simulated daemons on a
 * manual clock.
 */

import { ConfigurationHolder } from "../configuration/mod.ts";
import { RandomSource } from "../time/mod.ts";
import { advanceInSteps, advanceUntil } from "./advance_in_steps.ts";
import { ConfigurationFleet } from "./configuration_fleet.ts";
import type { ConfigurationFleetOptions } from "./configuration_fleet.ts";
import { withDeadline } from "./configuration_writer_bench.ts";
import { ManualClock } from "./manual_clock.ts";
import { MemoryObjectStore } from "./memory_object_store.ts";
import { writeConfiguration } from "./write_configuration.ts";

/** Length of a clock step, in milliseconds. */
export const DISTRIBUTION_STEP_MS = 10;

/** Failure domains of the fleet. */
export const DISTRIBUTION_DOMAINS = [
  { name: "gent-a", region: "vlaanderen" },
  { name: "gent-b", region: "vlaanderen" },
  { name: "namur-a", region: "wallonie" },
  { name: "namur-b", region: "wallonie" },
] as const;

const DAEMONS_PER_DOMAIN = 5;
const START_MS = 5_000;
const FIRST_DEADLINE_MS = 1_001;

/** A fleet with a writer of configurations. */
export class DistributionBench {
  readonly clock = new ManualClock();
  readonly fleet: ConfigurationFleet;
  readonly #store: MemoryObjectStore;

  constructor(
    seed: number,
    createHolder = () => new ConfigurationHolder(),
    options:
      & Pick<
        ConfigurationFleetOptions,
        "watchersPerDomain" | "storeTiming" | "detection"
      >
      & {
        readonly domains?: ConfigurationFleetOptions["domains"];
      } = {},
  ) {
    const { clock } = this;
    this.fleet = new ConfigurationFleet({
      clock,
      random: new RandomSource(seed),
      domains: DISTRIBUTION_DOMAINS,
      daemonsPerDomain: DAEMONS_PER_DOMAIN,
      createHolder,
      ...options,
    });
    this.#store = new MemoryObjectStore({
      table: this.fleet.table,
      clock,
      faults: {
        isDown: false,
        losesResponses: false,
        servesStaleReads: false,
        delayMs: 0,
      },
    });
  }

  /** Writes an initial configuration and starts the fleet. */
  async start(): Promise<void> {
    await this.accept(FIRST_DEADLINE_MS);
    this.fleet.start();
    await this.advance(START_MS);
  }

  /** Writes a configuration with a deadline in milliseconds; returns the accepted version. */
  accept(deadlineMs: number): Promise<number> {
    const writing = writeConfiguration(this.#store, withDeadline(deadlineMs));
    return advanceUntil(this.clock, writing, DISTRIBUTION_STEP_MS);
  }

  /** Advances the clock. */
  advance(durationMs: number): Promise<void> {
    return advanceInSteps(this.clock, durationMs, DISTRIBUTION_STEP_MS);
  }
}
