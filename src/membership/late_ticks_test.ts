import * as assert from "uvu/assert";
import { test } from "uvu";
import { createSimulatedFleetPlan } from "../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";
import type { SimulatedMember } from "../testing/simulated_fleet.ts";
import { RandomSource } from "../time/mod.ts";

const SEEDS = 20;
const DOMAINS = 3;
const MEMBERS_PER_DOMAIN = 6;
const SERVICES = 6;
const START_MS = 10_000;
const DURATION_MS = 60_000;
const STEP_MS = 100;

/** Length of a stall, in milliseconds. */
const STALL_MS = { min: 100, max: 900 } as const;

/** Longest time between the stalls of a member, in milliseconds. */
const MAX_INTERVAL_MS = 1_500;

const LOSS_RATIOS = [0.05, 0.1, 0.2] as const;

/** Stalls a member again and again until `endsAtMs`. */
function stall(
  fleet: SimulatedFleet,
  { clock }: SimulatedMember,
  { random, endsAtMs }: { random: RandomSource; endsAtMs: number },
): void {
  const pauseLater = () => {
    if (fleet.clock.nowMs() >= endsAtMs) {
      return;
    }
    fleet.clock.schedule(random.nextFloat() * MAX_INTERVAL_MS, () => {
      clock.pause();
      const stallMs = STALL_MS.min +
        random.nextFloat() * (STALL_MS.max - STALL_MS.min);
      fleet.clock.schedule(stallMs, () => {
        clock.resume();
        pauseLater();
      });
    });
  };
  pauseLater();
}

/** Lists the members that another one takes for dead, though all run. */
function listEvicted(fleet: SimulatedFleet): string[] {
  return fleet.members.flatMap(({ membership, record }) =>
    membership.listAll()
      .filter(({ state }) => state === "dead")
      .map(({ incarnation }) => `${record.address} evicted ${incarnation}`)
  );
}

/** Runs a fleet whose members stall and whose datagrams get lost, and returns the first evictions. */
async function runStalledFleet(
  seed: number,
  stalledCount: number,
): Promise<string[]> {
  const fleet = new SimulatedFleet(createSimulatedFleetPlan({
    ...{ seed, domains: DOMAINS, membersPerDomain: MEMBERS_PER_DOMAIN },
    ...{ services: SERVICES, entryServices: SERVICES },
  }));
  await fleet.startAll();
  await fleet.run(START_MS);
  const random = new RandomSource(seed);
  fleet.network.faults.lossRatio = LOSS_RATIOS[seed % LOSS_RATIOS.length] ?? 0;
  const endsAtMs = fleet.clock.nowMs() + DURATION_MS;
  fleet.members.slice(0, stalledCount)
    .forEach((member) => stall(fleet, member, { random, endsAtMs }));
  while (fleet.clock.nowMs() < endsAtMs) {
    await fleet.run(STEP_MS);
    const evicted = listEvicted(fleet);
    if (evicted.length > 0) {
      return evicted;
    }
  }
  return [];
}

// Busy machines run the daemons' ticks late; a live member that is evicted loses its requests.
for (const stalledCount of [1, DOMAINS * MEMBERS_PER_DOMAIN]) {
  test(`no live member is evicted while the ticks of ${stalledCount} are up to 0.9 s late`, async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const evicted = await runStalledFleet(seed, stalledCount);
      assert.equal(evicted, [], `seed ${seed}`);
    }
  });
}

test.run();
