import * as assert from "uvu/assert";
import { test } from "uvu";
import fc from "fast-check";
import { createSimulatedFleetPlan } from "../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";
import type {
  SimulatedFleetPlan,
  SimulatedMember,
} from "../testing/simulated_fleet.ts";
import {
  EVICTION_WINDOW_MS,
  EvictionLimiter,
  MAX_DOMAIN_EVICTION_RATIO,
  RatioEvictionLimiter,
} from "./eviction_limiter.ts";

const DOMAINS = 3;
const MEMBERS_PER_DOMAIN = 6;
const MEMBERS = DOMAINS * MEMBERS_PER_DOMAIN;
const SERVICES = 6;
const SAMPLE_MS = 500;
const RECOVERY_MS = 150_000;
const RUNS = 12;
const SEED = 20_261_203;
const MIN_DOMAIN_EVICTIONS = 2;

const FAULTS = [
  "crash",
  "pause",
  "resume",
  "restart",
  "partition-domain",
  "partition-member",
  "clear-faults",
  "drop-datagrams",
] as const;

interface Step {
  readonly fault: (typeof FAULTS)[number];
  readonly target: number;
  readonly durationMs: number;
}

const faultSchedules: fc.Arbitrary<Step[]> = fc.array(
  fc.record({
    fault: fc.constantFrom(...FAULTS),
    target: fc.nat(MEMBERS - 1),
    durationMs: fc.integer({ min: 500, max: 12_000 }),
  }),
  { minLength: 3, maxLength: 10 },
);

/**
 * Checks that no observer evicts more members of a failure domain within the
 * window than the limit allows. Members that announced that they are leaving, and
 * incarnations that a restart replaced, do not count as evicted.
 */
class EvictionLimitChecker {
  readonly #states = new Map<string, string>();
  readonly #timesMs = new Map<string, number[]>();

  /**
   * Samples every member's view. Returns a description of the first violation
   * of the eviction limit.
   */
  sample(fleet: SimulatedFleet): string | undefined {
    const nowMs = fleet.clock.nowMs();
    const current = new Set(
      fleet.members.map(({ record }) => record.incarnation),
    );
    for (const observer of fleet.members) {
      const { membership, record } = observer;
      for (const known of membership.listAll()) {
        const id = `${record.incarnation}>${known.incarnation}`;
        const isEvicted = known.state === "dead" &&
          ["alive", "suspect"].includes(this.#states.get(id) ?? "") &&
          current.has(known.incarnation);
        this.#states.set(id, known.state);
        if (isEvicted) {
          const violation = this.#recordEviction(
            `${record.incarnation}>${known.failureDomain}`,
            nowMs,
          );
          if (violation) {
            return violation;
          }
        }
      }
    }
    return undefined;
  }

  #recordEviction(key: string, nowMs: number): string | undefined {
    const timesMs = (this.#timesMs.get(key) ?? []).filter((atMs) =>
      nowMs - atMs < EVICTION_WINDOW_MS - SAMPLE_MS
    );
    timesMs.push(nowMs);
    this.#timesMs.set(key, timesMs);
    const limit = Math.max(
      MIN_DOMAIN_EVICTIONS,
      Math.floor(MEMBERS_PER_DOMAIN * MAX_DOMAIN_EVICTION_RATIO),
    );
    return timesMs.length > limit
      ? `${key} evicted ${timesMs.length}`
      : undefined;
  }
}

/** Runs a fault schedule, clears all faults, and returns a description of the first violation. */
async function findViolation(
  steps: readonly Step[],
  changes: Partial<SimulatedFleetPlan> = {},
): Promise<string | undefined> {
  const plan = createSimulatedFleetPlan({
    seed: 3,
    domains: DOMAINS,
    membersPerDomain: MEMBERS_PER_DOMAIN,
    services: SERVICES,
    entryServices: SERVICES,
  });
  const fleet = new SimulatedFleet({ ...plan, ...changes });
  await fleet.startAll();
  await fleet.run(10_000);
  const checker = new EvictionLimitChecker();
  const crashed = new Set<SimulatedMember>();
  for (const step of steps) {
    await applyFault(fleet, step, crashed);
    for (let passedMs = 0; passedMs < step.durationMs; passedMs += SAMPLE_MS) {
      await fleet.run(SAMPLE_MS);
      const violation = checker.sample(fleet);
      if (violation) {
        return violation;
      }
    }
  }
  fleet.network.faults.isPartitioned = () => false;
  fleet.network.faults.lossRatio = 0;
  fleet.members.filter((member) => !crashed.has(member))
    .forEach(({ clock }) => clock.isPaused && clock.resume());
  await fleet.run(RECOVERY_MS);
  return findIncorrectState(fleet, crashed);
}

async function applyFault(
  fleet: SimulatedFleet,
  { fault, target }: Step,
  crashed: Set<SimulatedMember>,
): Promise<void> {
  const member = fleet.members[target];
  if (!member) {
    return;
  }
  const { faults } = fleet.network;
  const partition = new Set(
    (fault === "partition-member"
      ? [member]
      : fleet.listDomain(member.record.failureDomain)).map(({ address }) =>
        address
      ),
  );
  switch (fault) {
    case "crash":
      fleet.crash(member);
      crashed.add(member);
      break;
    case "pause":
      member.clock.pause();
      break;
    case "resume":
      if (!crashed.has(member)) {
        member.clock.resume();
      }
      break;
    case "restart":
      fleet.crash(member);
      crashed.delete(member);
      await fleet.restart(member);
      break;
    case "partition-domain":
    case "partition-member":
      faults.isPartitioned = (source, destination) =>
        partition.has(source) !== partition.has(destination);
      break;
    case "clear-faults":
      faults.isPartitioned = () => false;
      faults.lossRatio = 0;
      break;
    case "drop-datagrams":
      faults.lossRatio = 0.2;
  }
}

/**
 * Returns a description of the first view in which a running member is not
 * alive, a crashed member is alive, or a running instance is not listed.
 */
function findIncorrectState(
  fleet: SimulatedFleet,
  crashed: ReadonlySet<SimulatedMember>,
): string | undefined {
  const running = fleet.members.filter((member) => !crashed.has(member));
  for (const { membership, record } of running) {
    for (const other of fleet.listDomain(record.failureDomain)) {
      const state = membership.find(other.record.incarnation)?.state;
      if ((state === "alive") === crashed.has(other)) {
        return `${record.incarnation} records ${other.record.incarnation} as ${state}`;
      }
    }
    const missing = running.find((other) =>
      other.record.service !== record.service &&
      !membership.listInstances(other.record.service).some((
        { incarnation },
      ) => incarnation === other.record.incarnation)
    );
    if (missing) {
      return `${record.incarnation} does not list ${missing.record.incarnation}`;
    }
  }
  return undefined;
}

test("under random faults evictions stay within the limit, and after recovery every view is correct", async () => {
  await fc.assert(
    fc.asyncProperty(faultSchedules, async (steps) => {
      assert.is(await findViolation(steps), undefined);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: false },
  );
});

class UnlimitedEvictionLimiter extends EvictionLimiter {
  override tryEvict(): boolean {
    return true;
  }
}

const PAUSES: readonly Step[] = [
  { fault: "pause", target: 0, durationMs: 500 },
  { fault: "pause", target: 3, durationMs: 500 },
  { fault: "pause", target: 6, durationMs: 12_000 },
];

test("seeded defect: the checker detects evictions beyond the limit", async () => {
  const violation = await findViolation(PAUSES, {
    options: () => ({ evictionLimiter: new UnlimitedEvictionLimiter() }),
  });
  assert.match(violation ?? "", "evicted 3");
});

test("the same schedule stays within the limit when it is enforced", async () => {
  const violation = await findViolation(PAUSES, {
    options: (clock) => ({ evictionLimiter: new RatioEvictionLimiter(clock) }),
  });
  assert.is(violation, undefined);
});

test.run();
